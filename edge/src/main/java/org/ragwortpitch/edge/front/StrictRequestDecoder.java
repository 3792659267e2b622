package org.ragwortpitch.edge.front;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Keeps both Content-Length and Transfer-Encoding of a request that has both, so that {@link Framing} can refuse it;
 * Netty's decoder drops Content-Length.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(int maxHeaderBytes, int maxChunkBytes) {
        super(maxHeaderBytes, maxHeaderBytes, maxChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Keeps both headers.
    }
}
