package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of one connection, and tells whether bytes have arrived beyond those decoded so far.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    ResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
    }

    /**
     * Returns whether bytes follow the last message that was passed on.
     */
    boolean hasExcessBytes() {
        return actualReadableBytes() > 0;
    }
}
