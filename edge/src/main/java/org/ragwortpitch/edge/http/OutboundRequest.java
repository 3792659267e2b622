package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * An outbound request.
 *
 * @param method    the HTTP method
 * @param target    path and query
 * @param headers   all headers except connection-specific ones and Content-Length
 * @param body      the body; the sender neither advances nor releases it
 * @param attemptId the attempt id that a response must carry if it carries any; empty if the request has none
 * @param echoed    whether the receiver repeats the attempt id in every response, so that one without it, on a
 *                  connection that has carried another request, may belong to that one
 * @param beforeSend run once a new connection is open, before the request is sent there; it may cancel the request
 */
public record OutboundRequest(
        String method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        String attemptId,
        boolean echoed,
        Runnable beforeSend) {

    /**
     * Creates a request whose attempt id, if it has one, is repeated in every response.
     */
    public OutboundRequest(String method, String target, HttpHeaders headers, ByteBuf body, String attemptId) {
        this(method, target, headers, body, attemptId, () -> {});
    }

    /**
     * Creates a request whose attempt id, if it has one, is repeated in every response.
     *
     * @param beforeSend run once a new connection is open, before the request is sent there; it may cancel the request
     */
    public OutboundRequest(
            String method, String target, HttpHeaders headers, ByteBuf body, String attemptId, Runnable beforeSend) {
        this(method, target, headers, body, attemptId, !attemptId.isEmpty(), beforeSend);
    }
}
