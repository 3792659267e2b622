package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives one response: its head, its content in chunks, then its end or a failure. No method is called after the
 * request is cancelled.
 */
public interface ResponseListener {

    /**
     * Called when the status and headers have arrived.
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * Called for each chunk of the body, which is valid only during this call.
     */
    void onContent(ByteBuf content);

    /**
     * Returns how much of the response the listener holds in memory, in bytes.
     */
    default long bufferedBytes() {
        return 0;
    }

    /**
     * Called when the response is complete.
     *
     * @param framed whether the response states its length, or is chunked, rather than ending with the connection
     */
    void onEnd(boolean framed);

    /**
     * Called when no complete response will arrive.
     */
    void onFailure(CallFailure failure);
}
