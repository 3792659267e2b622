package org.ragwortpitch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Adds the bytes that a connection sends to a total.
 */
final class SentBytesCounter extends ChannelOutboundHandlerAdapter {

    private final AtomicLong sentBytes;

    SentBytesCounter(AtomicLong sentBytes) {
        this.sentBytes = sentBytes;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof ByteBuf bytes) {
            sentBytes.addAndGet(bytes.readableBytes());
        }
        super.write(context, message, promise);
    }
}
