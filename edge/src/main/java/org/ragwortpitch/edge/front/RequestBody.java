package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request that is being received. It may reach the limit under which the request's head was accepted,
 * even if the limit falls meanwhile.
 */
final class RequestBody {

    private final int acceptedBytes;
    private final ByteBuf bytes = Unpooled.buffer();

    /**
     * Creates an empty body.
     *
     * @param acceptedBytes the limit when the head was accepted
     */
    RequestBody(int acceptedBytes) {
        this.acceptedBytes = acceptedBytes;
    }

    /**
     * Appends a piece unless that makes the body too long.
     *
     * @param maxBytes the present limit
     * @return whether the piece was appended
     */
    boolean append(ByteBuf piece, int maxBytes) {
        if (bytes.readableBytes() + piece.readableBytes() > Math.max(acceptedBytes, maxBytes)) {
            return false;
        }
        bytes.writeBytes(piece);
        return true;
    }

    ByteBuf bytes() {
        return bytes;
    }
}
