package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Keeps both Content-Length and Transfer-Encoding of a request that has both, so that {@link Framing} can refuse it;
 * Netty's decoder drops Content-Length. {@link RequestDecoder} calls it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(int maxHeaderBytes, int maxChunkBytes) {
        super(maxHeaderBytes, maxHeaderBytes, maxChunkBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decode(context, in, out);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Keeps both headers.
    }
}
