package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decodes each request of a connection under the limit on heads that is in force as it begins. Netty's decoder keeps
 * the limit that it was created with, so another one takes its place between two requests.
 */
final class RequestDecoder extends ByteToMessageDecoder {

    private final IntSupplier maxHeaderBytes;
    private final int maxChunkBytes;
    private int limitBytes;
    private StrictRequestDecoder decoder;
    private boolean withinRequest;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes supplies the present limit on heads, in bytes
     * @param maxChunkBytes  the size of the pieces in which bodies are passed on, in bytes
     */
    RequestDecoder(IntSupplier maxHeaderBytes, int maxChunkBytes) {
        this.maxHeaderBytes = maxHeaderBytes;
        this.maxChunkBytes = maxChunkBytes;
        this.limitBytes = maxHeaderBytes.getAsInt();
        this.decoder = new StrictRequestDecoder(limitBytes, maxChunkBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        beginRequest();
        int start = in.readerIndex();
        int decoded = out.size();
        decoder.decode(context, in, out);
        observe(out, decoded, in.readerIndex() > start);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        decoder.decodeLast(context, in, out);
    }

    private void beginRequest() {
        int now = maxHeaderBytes.getAsInt();
        if (!withinRequest && now != limitBytes) {
            limitBytes = now;
            decoder = new StrictRequestDecoder(now, maxChunkBytes);
        }
    }

    private void observe(List<Object> out, int decoded, boolean consumed) {
        if (out.size() == decoded) {
            withinRequest |= consumed;
            return;
        }
        HttpObject last = (HttpObject) out.get(out.size() - 1);
        // What follows a malformed request can't be delimited, and is left to the decoder that has found it.
        withinRequest =
                !(last instanceof LastHttpContent) || last.decoderResult().isFailure();
    }
}
