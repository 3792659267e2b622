package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of one connection, and tells whether bytes have arrived beyond those decoded so far.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private boolean headOnly;

    ResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
    }

    /**
     * Returns whether bytes follow the last message that was passed on.
     */
    boolean hasExcessBytes() {
        return actualReadableBytes() > 0;
    }

    /**
     * Returns the bytes that follow the last message that was passed on; valid only during the present call.
     */
    ByteBuf excessBytes() {
        return internalBuffer();
    }

    /**
     * Sets the method of the pending request, on which it depends whether a response has a body.
     */
    void expectResponseTo(String method) {
        headOnly = HttpMethod.HEAD.name().equals(method);
    }

    /**
     * Returns whether the response to the pending request has no body, whatever its head states.
     */
    boolean endsWithHead(HttpMessage head) {
        return isContentAlwaysEmpty(head);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headOnly || super.isContentAlwaysEmpty(message);
    }
}
