package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the stream of an engine. Called on the traffic thread.
 */
interface StreamListener {

    /**
     * Called with one or more complete events.
     */
    void onEvents(EngineStream run, java.util.List<StreamEvent> events);

    /**
     * Called at the end of a complete response.
     *
     * @param rest bytes after the last complete event
     */
    void onComplete(EngineStream run, byte[] rest);

    /**
     * Called if the engine refused the request before it executed it.
     */
    void onRefused(EngineStream run, int status);

    /**
     * Called if the engine answered with something other than a stream.
     */
    void onOtherResponse(EngineStream run, int status, HttpHeaders headers, ByteBuf body);

    /**
     * Called if the stream broke off or never began.
     *
     * @param sent whether the request may have been executed
     */
    void onFailed(EngineStream run, boolean sent, String reason);
}
