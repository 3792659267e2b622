package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The answer to one request: whole, or begun and then sent piece by piece. Calls after its end have no effect.
 */
public interface CallerAnswer {

    /**
     * Sends a whole answer.
     */
    void whole(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Begins an answer whose length isn't known.
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Sends a piece of an answer that has begun.
     */
    void piece(ByteBuf piece);

    /**
     * Ends an answer that has begun.
     */
    void end();

    /**
     * Closes the connection, so that the answer can't look complete.
     */
    void abort();

    /**
     * Tells whether the caller reads what is sent.
     */
    boolean isWritable();

    /**
     * Runs something when the caller reads again.
     */
    void onWritable(Runnable action);
}
