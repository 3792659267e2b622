package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request to send.
 *
 * @param method    the method
 * @param target    path and query
 * @param headers   all headers but those of the connection and of the body's length
 * @param body      the body; only read, never released
 * @param attemptId that the answer has to bear if it bears any; empty if none is expected
 */
public record OutboundRequest(String method, String target, HttpHeaders headers, ByteBuf body, String attemptId) {}
