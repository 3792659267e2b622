package org.ragwortpitch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that a connection sends.
 */
final class SentBytesCounter extends ChannelOutboundHandlerAdapter {

    /**
     * The count.
     */
    private final AtomicLong sentBytes;

    /**
     * Makes a counter.
     *
     * @param sentBytes where to count
     */
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
