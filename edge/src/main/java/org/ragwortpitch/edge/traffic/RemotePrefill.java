package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.EngineCodec;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.http.ResponseBody;
import org.ragwortpitch.edge.http.ResponseListener;
import org.ragwortpitch.placement.EngineSpeeds;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.QueueWatch;

/**
 * Prefills a prompt on one engine so that another engine can decode it. A prefill doesn't count as an execution of the
 * request.
 */
final class RemotePrefill implements ResponseListener, Cancellation {

    /** Pause before the next request to an engine that refused one, in milliseconds: part of a role switch. */
    static final long REFUSAL_PAUSE_MILLIS = 600;

    private static final int OK = 200;

    private final EndpointState target;
    private final EngineState engine;
    private final long tokens;
    private final long uncachedTokens;
    private final Consumer<String> onHandle;
    private final Consumer<CallFailure> onFailure;
    private final ResponseBody body = new ResponseBody();
    private Cancellation currentSend = Cancellation.NONE;
    private LongSupplier clockMillis = () -> 0;
    private EngineSpeeds speeds;
    private QueueWatch queue;
    private long sentMillis;
    private boolean ended;
    private int status;

    /**
     * Prepares a prefill; {@link #start} sends it.
     *
     * @param tokens         length of the whole prompt
     * @param uncachedTokens estimated part of it that the engine has to prefill
     * @param onHandle       called with the handle of the KV cache
     * @param onFailure      called with the reason why there is no KV cache
     */
    RemotePrefill(
            EndpointState target,
            long tokens,
            long uncachedTokens,
            Consumer<String> onHandle,
            Consumer<CallFailure> onFailure) {
        this.target = target;
        this.engine = target.engine();
        this.tokens = tokens;
        this.uncachedTokens = uncachedTokens;
        this.onHandle = onHandle;
        this.onFailure = onFailure;
    }

    void start(TrafficContext context, OutboundRequest request) {
        clockMillis = context.clockMillis();
        sentMillis = clockMillis.getAsLong();
        request.headers().set(Headers.ROLE, EngineCodec.PREFILL_ONLY);
        speeds = context.endpoints().speeds();
        queue = engine.watchQueue();
        target.beginRequest();
        engine.requestStarted(tokens, uncachedTokens);
        currentSend = context.connections().send(target.endpoint().address(), request, Long.MAX_VALUE, this);
    }

    @Override
    public void cancel() {
        finish();
        currentSend.cancel();
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
        target.recordStatedLimit(newStatus, headers, sentMillis, clockMillis.getAsLong());
    }

    @Override
    public void onContent(ByteBuf content) {
        body.append(content);
    }

    @Override
    public long bufferedBytes() {
        return body.length();
    }

    @Override
    public void onEnd(boolean framed) {
        finish();
        if (status != OK) {
            refuse("engine refused the prefill: status " + status);
            return;
        }
        try {
            String handle = EngineCodec.handle(ByteBufUtil.getBytes(body.content()));
            long nowMillis = clockMillis.getAsLong();
            speeds.recordPrefill(queue, uncachedTokens, tokens, nowMillis - sentMillis, nowMillis);
            onHandle.accept(handle);
        } catch (CodecException exception) {
            refuse(exception.getMessage());
        }
    }

    private void refuse(String reason) {
        target.recordRefusal(REFUSAL_PAUSE_MILLIS, clockMillis.getAsLong());
        onFailure.accept(CallFailure.sent(reason));
    }

    @Override
    public void onFailure(CallFailure failure) {
        finish();
        target.pause(REFUSAL_PAUSE_MILLIS, clockMillis.getAsLong());
        onFailure.accept(new CallFailure(failure.sent(), "no complete response to the prefill: " + failure.reason()));
    }

    private void finish() {
        if (!ended) {
            ended = true;
            queue.end();
            target.endRequest();
            engine.prefillEnded(uncachedTokens);
            engine.requestEnded(tokens);
        }
    }
}
