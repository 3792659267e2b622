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
 * @param attemptId the attempt id that a response must carry if it carries any; empty to accept every id
 */
public record OutboundRequest(String method, String target, HttpHeaders headers, ByteBuf body, String attemptId) {}
