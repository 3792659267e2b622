package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears of the stream that an engine makes.
 */
interface StreamListener {

    /**
     * Whole events have come.
     */
    void onEvents(StreamRun run, java.util.List<StreamEvent> events);

    /**
     * The stream is complete.
     *
     * @param rest bytes after the last whole event
     */
    void onComplete(StreamRun run, byte[] rest);

    /**
     * The engine refused the request before it ran.
     */
    void onRefused(StreamRun run, int status);

    /**
     * The engine answered with something else than a stream.
     */
    void onOther(StreamRun run, int status, HttpHeaders headers, ByteBuf body);

    /**
     * The stream broke off, or never came.
     *
     * @param sent whether the request may have run
     */
    void onBroken(StreamRun run, boolean sent, String reason);
}
