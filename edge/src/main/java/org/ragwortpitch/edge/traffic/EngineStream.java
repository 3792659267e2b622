package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.http.ResponseBody;
import org.ragwortpitch.edge.http.ResponseListener;
import org.ragwortpitch.placement.EngineSpeeds;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.QueueWatch;

/**
 * One send of a generation to one engine; splits the response into events.
 */
final class EngineStream implements ResponseListener, Cancellation {

    private static final int OK = 200;

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    /** An event holds a few tokens; a longer one has no end. */
    static final int MAX_EVENT_BYTES = 1_048_576;

    /** An engine that has sent events for this long does not crash on the request, in milliseconds. */
    private static final long JUST_BEGUN_MILLIS = 250;

    /** Fewer pauses than this tell little about the time of a decode step. */
    private static final int MIN_PAUSES = 4;

    private final EndpointState target;
    private final EngineState engine;
    private final long tokens;
    private final long uncachedTokens;
    private final EventSequence sequence;
    private final StreamListener listener;
    private final EventSplitter splitter = new EventSplitter();
    private final ResponseBody otherBody = new ResponseBody();
    private Cancellation currentSend = Cancellation.NONE;
    private boolean ended;
    private boolean prefilling = true;
    private boolean hasEvents;
    private long firstEventMillis;
    private long lastEventMillis;
    private int pauses;
    private boolean resumes;
    private EngineSpeeds speeds;
    private QueueWatch queue;
    private boolean counted;
    private boolean connectionLost;
    private LongSupplier clockMillis = () -> 0;
    private long sentMillis;
    private int status;
    private HttpHeaders headers;
    private StreamPart part;

    /**
     * Creates a send.
     *
     * @param sequence the stream of which the response brings a part
     */
    EngineStream(
            EndpointState target, long tokens, long uncachedTokens, EventSequence sequence, StreamListener listener) {
        this.target = target;
        this.engine = target.engine();
        this.tokens = tokens;
        this.uncachedTokens = uncachedTokens;
        this.sequence = sequence;
        this.listener = listener;
    }

    EndpointState target() {
        return target;
    }

    HttpHeaders headers() {
        return headers;
    }

    boolean hasEvents() {
        return hasEvents;
    }

    /**
     * Returns whether the engine has sent no events, or only since a short time, so that it may crash on the request.
     */
    boolean hasJustBegun(long nowMillis) {
        return !hasEvents || nowMillis - firstEventMillis < JUST_BEGUN_MILLIS;
    }

    /**
     * Returns whether the connection ended before the response.
     */
    boolean isConnectionLost() {
        return connectionLost;
    }

    /**
     * Returns when the request was sent, in milliseconds of the monotonic clock.
     */
    long sentMillis() {
        return sentMillis;
    }

    /**
     * Learns the engine's speed from the time to the first event. That of a stream which goes on elsewhere tells
     * nothing, as the engine has to process the earlier events first.
     *
     * @param transferred whether the KV cache was transferred to the engine, which prefilled the prompt otherwise
     */
    void recordFirstEvent(Generation generation, boolean transferred) {
        long nowMillis = clockMillis.getAsLong();
        queue.end();
        if (resumes) {
            return;
        }
        if (transferred) {
            speeds.recordFirstEvent(queue, generation, nowMillis - sentMillis, nowMillis);
        } else {
            speeds.recordLocalPrefill(
                    queue, uncachedTokens, generation.promptTokens(), nowMillis - sentMillis, nowMillis);
        }
    }

    private void recordPauses() {
        // Events that arrived together were held back on the way.
        if (pauses >= MIN_PAUSES && lastEventMillis > firstEventMillis) {
            double pauseMillis = (double) (lastEventMillis - firstEventMillis) / pauses;
            speeds.recordPauses(engine, pauseMillis, clockMillis.getAsLong());
        }
    }

    /**
     * Marks the execution as counted.
     *
     * @return whether this was the first call
     */
    boolean markCounted() {
        boolean first = !counted;
        counted = true;
        return first;
    }

    void start(TrafficContext context, OutboundRequest request) {
        clockMillis = context.clockMillis();
        sentMillis = clockMillis.getAsLong();
        resumes = sequence.hasBegun();
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
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
        part = sequence.part(StreamContent.of(newHeaders));
        target.recordStatedLimit(newStatus, newHeaders, sentMillis, clockMillis.getAsLong());
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!isStream()) {
            otherBody.append(content);
            return;
        }
        List<StreamEvent> events = splitter.feed(content);
        if (splitter.restBytes() > MAX_EVENT_BYTES) {
            cancel();
            listener.onFailed(this, true, "event longer than " + MAX_EVENT_BYTES + " bytes");
            return;
        }
        if (events.isEmpty()) {
            return;
        }
        lastEventMillis = clockMillis.getAsLong();
        pauses += hasEvents ? events.size() : events.size() - 1;
        if (!hasEvents) {
            hasEvents = true;
            firstEventMillis = lastEventMillis;
        }
        if (prefilling) {
            prefilling = false;
            engine.prefillEnded(uncachedTokens);
        }
        List<StreamEvent> added = part.add(events);
        if (!added.isEmpty() || part.fault().isEmpty()) {
            listener.onEvents(this, added);
        }
        if (!ended && part.fault().isPresent()) {
            cancel();
            listener.onFailed(this, true, part.fault().get());
        }
    }

    private boolean isStream() {
        return status == OK && headers.contains(Headers.SEAL) && !part.isOtherContent();
    }

    @Override
    public long bufferedBytes() {
        return otherBody.length() + splitter.restBytes();
    }

    @Override
    public void onEnd(boolean framed) {
        finish();
        if (headers.contains(Headers.NOT_EXECUTED)) {
            listener.onRefused(this, status);
        } else if (status < MIN_NON_SUCCESS_STATUS && !headers.contains(Headers.SEAL)) {
            listener.onFailed(this, true, "success status without a response seal");
        } else if (!isStream()) {
            listener.onOtherResponse(this, status, headers, otherBody.content());
        } else if (isStopped(framed) && !isOtherContent(framed)) {
            connectionLost = !framed;
            listener.onFailed(this, true, "the stream ended before the end of an event");
        } else {
            recordPauses();
            listener.onComplete(this, splitter.rest());
        }
    }

    /**
     * Returns whether the response is no whole stream, whatever its framing says. A stream that was resumed after its
     * last event has none.
     */
    private boolean isStopped(boolean framed) {
        return splitter.restBytes() > 0 || !hasEvents && !sequence.hasBegun() || !part.endsStream(framed);
    }

    private boolean isOtherContent(boolean framed) {
        return framed && !hasEvents && StreamContent.of(headers) == StreamContent.OTHER;
    }

    @Override
    public void onFailure(CallFailure failure) {
        finish();
        connectionLost = failure.sent();
        listener.onFailed(this, failure.sent(), failure.reason());
    }

    private void finish() {
        if (!ended) {
            ended = true;
            if (queue != null) {
                queue.end();
            }
            target.endRequest();
            if (prefilling) {
                engine.prefillEnded(uncachedTokens);
            }
            engine.requestEnded(tokens);
        }
    }
}
