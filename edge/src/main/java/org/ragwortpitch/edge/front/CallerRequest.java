package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete request of a caller.
 *
 * @param method        the HTTP method
 * @param target        path and query, as sent
 * @param headers       the headers, as sent
 * @param body          the whole body, with chunked coding removed
 * @param arrivedMillis when its head was decoded, in milliseconds of the monotonic clock
 */
public record CallerRequest(String method, String target, HttpHeaders headers, ByteBuf body, long arrivedMillis) {

    /**
     * Returns the path without the query.
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
