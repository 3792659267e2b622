package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears of one answer: its head, its content piece by piece, then its end or break. Nothing comes after a cancel.
 */
public interface ResponseListener {

    /**
     * The status and headers have come.
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * A piece of the body has come; it is valid during the call only.
     */
    void onContent(ByteBuf content);

    /**
     * The answer is complete.
     *
     * @param framed whether its length was stated, rather than shown by the connection's end
     */
    void onEnd(boolean framed);

    /**
     * No complete answer will come.
     */
    void onBroken(Breakage breakage);
}
