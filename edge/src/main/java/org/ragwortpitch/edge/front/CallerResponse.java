package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The response to one request, sent either whole or as a chunked stream. Calls after its end have no effect.
 */
public interface CallerResponse {

    /**
     * Sends a complete response with its Content-Length.
     */
    void sendFull(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Starts a chunked response. Its head is flushed with the first chunk or the end.
     */
    void beginStream(int status, HttpHeaders headers);

    /**
     * Sends a chunk of a response that has begun.
     */
    void sendChunk(ByteBuf chunk);

    /**
     * Ends a response that has begun.
     */
    void endStream();

    /**
     * Closes the connection without an end marker, so that the caller can't take the response for complete.
     */
    void abort();

    /**
     * Cancels the request if its caller has closed the connection and the event loop was too busy to see it. To be
     * called before work is done for a request that has waited.
     */
    default void checkCaller() {}

    /**
     * Returns whether the unsent bytes are below the high watermark, that is, whether the caller keeps up.
     */
    boolean isWritable();

    /**
     * Sets the action to run on the connection's thread whenever the caller becomes writable again. Replaces an earlier
     * one.
     */
    void onWritable(Runnable action);
}
