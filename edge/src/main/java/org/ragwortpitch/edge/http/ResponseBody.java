package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is collected in segments, so that a long one is never copied as a whole. Confined to one thread.
 */
public final class ResponseBody {

    private static final int SEGMENT_BYTES = 65_536;

    private final List<ByteBuf> segments = new ArrayList<>();
    private long bytes;

    /**
     * Appends a copy of the readable bytes.
     */
    public void append(ByteBuf content) {
        ByteBuf rest = content.duplicate();
        bytes += rest.readableBytes();
        while (rest.isReadable()) {
            ByteBuf last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
            if (last == null || last.readableBytes() == SEGMENT_BYTES) {
                last = Unpooled.buffer();
                segments.add(last);
            }
            last.writeBytes(rest, Math.min(rest.readableBytes(), SEGMENT_BYTES - last.readableBytes()));
        }
    }

    /**
     * Removes all bytes.
     */
    public void clear() {
        segments.clear();
        bytes = 0;
    }

    /**
     * Returns the length, in bytes.
     */
    public long length() {
        return bytes;
    }

    /**
     * Returns a view of all bytes.
     */
    public ByteBuf content() {
        return Unpooled.wrappedBuffer(Math.max(1, segments.size()), segments.toArray(ByteBuf[]::new));
    }
}
