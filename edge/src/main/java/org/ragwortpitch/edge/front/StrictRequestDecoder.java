package org.ragwortpitch.edge.front;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Leaves a request with two statements of its length as it is, so that {@link Framing} can refuse it; the usual decoder
 * drops one of them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(int maxHeaderBytes, int maxChunkBytes) {
        super(maxHeaderBytes, maxHeaderBytes, maxChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Both headers stay.
    }
}
