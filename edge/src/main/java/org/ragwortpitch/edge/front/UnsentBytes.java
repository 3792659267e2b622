package org.ragwortpitch.edge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The bytes of responses that a caller has yet to take.
 */
final class UnsentBytes {

    private UnsentBytes() {}

    static long of(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        // What was sent of the message in progress still counts as pending.
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }
}
