package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.edge.http.Breakage;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.placement.Engine;
import org.ragwortpitch.placement.EngineChooser;
import org.ragwortpitch.placement.EngineEstimate;
import org.ragwortpitch.placement.Placement;

/**
 * Has engines answer a request with a stream: reads the prompt where that is quickest, passes whole events on in order,
 * and goes on at another engine where the route lets streams be resumed.
 */
final class EngineRun implements Cancellation, StreamListener {

    private static final int BAD_GATEWAY = 502;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    /** How often a request is offered to engines that refuse it unrun; further offers rarely find a free place. */
    private static final int MAX_SENDS = 5;

    /** Retry-After of a refusal, in milliseconds: about half of a usual generation, after which places are free. */
    private static final long RETRY_AFTER_MILLIS = 400;

    /** A caller who was sent away because of a queue comes back after this many times its length. */
    private static final double QUEUES_TO_WAIT = 2;

    /** Callers leave a stream that is silent this many times its target, but no sooner than two seconds. */
    private static final int PATIENCE_TARGETS = 4;

    private static final long LEAST_PATIENCE_MILLIS = 2_000;

    /** An engine is given up for another after this part of the callers' patience without an event. */
    private static final double SILENCE_SHARE = 0.6;

    /** The sends of a repeat: the prompt is read anew, then the tokens are made. */
    private static final int READ_AND_DECODE = 2;

    /** How long an engine that refused a request gets no more, in milliseconds: a part of a change of its role. */
    private static final long REFUSED_MILLIS = 600;

    private final TrafficParts parts;
    private final EngineChooser chooser;
    private final Exchange exchange;
    private final PoolId pool;
    private final Generation generation;
    private final RunLog log;
    private final HandedMemory memory;
    private final SilenceWatch silence;
    private final Set<EndpointId> tried = new HashSet<>();
    private Cancellation current = Cancellation.NONE;
    private int sends;
    private int ranAt;
    private long lastEvent;
    private Placement placement;

    EngineRun(
            TrafficParts parts,
            EngineChooser chooser,
            HttpCaller caller,
            Exchange exchange,
            PoolId pool,
            Generation generation) {
        this.parts = parts;
        this.chooser = chooser;
        this.exchange = exchange;
        this.pool = pool;
        this.generation = generation;
        this.lastEvent = firstEvent(exchange);
        this.log = new RunLog(exchange.attemptId());
        this.memory = new HandedMemory(caller, exchange.attemptId());
        this.silence = new SilenceWatch(parts, (long) (SILENCE_SHARE * patienceMillis()), this::silent);
    }

    private static long firstEvent(Exchange exchange) {
        String sent = exchange.request().headers().get(Headers.LAST_EVENT);
        return sent != null && sent.matches("\\d{1,18}") ? Long.parseLong(sent) : StreamEvent.NO_ID;
    }

    void start() {
        long now = now();
        ScheduledFuture<?> deadline = parts.loop()
                .schedule(this::timedOut, Math.max(1, exchange.remainingMillis(now)), TimeUnit.MILLISECONDS);
        exchange.whenDone(() -> {
            deadline.cancel(false);
            silence.stop();
            current.cancel();
            memory.free();
        });
        place(now);
    }

    @Override
    public void cancel() {
        exchange.callerLeft();
    }

    private void place(long now) {
        List<EndpointState> usable = parts.fleet().usable(pool, tried, now);
        List<Engine> engines = usable.stream().map(EndpointState::engine).toList();
        Optional<Placement> choice = chooser.choose(generation, engines)
                .or(() -> chooser.choose(
                        generation,
                        parts.fleet().staying(pool, tried).stream()
                                .map(EndpointState::engine)
                                .toList()));
        if (choice.isEmpty()) {
            exchange.giveUp(ranAt > 0, RETRY_AFTER_MILLIS, "no engine that makes tokens is left of " + usable.size());
            return;
        }
        placement = choice.get();
        Engine reads = placement.reader().orElse(placement.decoder());
        parts.demands().read(pool, EngineEstimate.uncachedTokens(reads, generation));
        long patience = Math.min(exchange.remainingMillis(now), patienceMillis());
        if (ranAt == 0 && placement.firstMillis() > patience) {
            exchange.giveUp(
                    ranAt > 0,
                    RETRY_AFTER_MILLIS,
                    "the first event would take " + (long) placement.firstMillis() + " of " + patience + " ms");
            return;
        }
        int urgency = exchange.route().urgency();
        if (ranAt == 0 && !placement.isWorthWaiting(exchange.route().targetMillis(), urgency)) {
            long comeBackMillis = Math.max(RETRY_AFTER_MILLIS, (long) (QUEUES_TO_WAIT * placement.waitMillis()));
            exchange.refuse(
                    UNAVAILABLE, comeBackMillis, "its turn would come in " + (long) placement.waitMillis() + " ms");
            return;
        }
        log.placed(placement, generation);
        if (placement.reader().isPresent()) {
            read(placement.reader().get(), now);
        } else {
            decode(now);
        }
    }

    private void read(Engine reader, long now) {
        EndpointState state = parts.fleet().find(reader.endpoint().id());
        state.health().sent(now);
        int uncached = EngineEstimate.uncachedTokens(reader, generation);
        double estimate = EngineEstimate.readMillis(reader, generation);
        PromptRead read = new PromptRead(
                state,
                generation.promptTokens(),
                uncached,
                handle -> {
                    log.read(state, silence.sinceAskedMillis(), uncached, estimate);
                    reader.measured(silence.sinceAskedMillis(), estimate);
                    handedOver(state, handle);
                },
                reason -> {
                    state.refused(REFUSED_MILLIS, now());
                    readFailed(reason);
                });
        current = read;
        state.sentParts(generation.parts());
        silence.asked(state, now);
        read.start(parts, exchange.urgent(state, now));
    }

    private void handedOver(EndpointState reader, String handle) {
        memory.read(reader, handle);
        if (exchange.isDone()) {
            memory.free();
            return;
        }
        reader.health().succeeded();
        reader.heard(now());
        decode(now());
    }

    private void readFailed(String reason) {
        if (exchange.isDone()) {
            return;
        }
        tried.add(placement.reader().orElseThrow().endpoint().id());
        sends++;
        again(reason, true);
    }

    private void decode(long now) {
        Engine decoder = placement.decoder();
        EndpointState state = parts.fleet().find(decoder.endpoint().id());
        if (state == null || state.endpoint().leaving()) {
            tried.add(decoder.endpoint().id());
            place(now);
            return;
        }
        int uncached = memory.isThere() ? 1 : EngineEstimate.uncachedTokens(decoder, generation);
        state.health().sent(now);
        sends++;
        OutboundRequest request = exchange.urgent(state, now);
        if (memory.isThere()) {
            request.headers().set(Headers.MEMORY_FROM, memory.from());
        }
        if (lastEvent != StreamEvent.NO_ID) {
            request.headers().set(Headers.LAST_EVENT, lastEvent);
        }
        StreamRun run = new StreamRun(state, generation.countedTokens(), uncached, this);
        current = run;
        state.sentParts(generation.parts());
        silence.asked(state, now);
        run.start(parts, request);
    }

    @Override
    public void onEvents(StreamRun run, List<StreamEvent> events) {
        if (exchange.isDone()) {
            return;
        }
        ranAt(run);
        if (!exchange.isBegun()) {
            if (placement.reader().isEmpty()) {
                run.target().engine().measured(silence.sinceAskedMillis(), placement.firstMillis());
            }
            run.target().health().succeeded();
            exchange.begin(200, run.headers());
            parts.metrics()
                    .firstEvent(exchange.route(), now() - exchange.request().arrivedMillis());
        }
        memory.taken();
        run.target().heard(now());
        silence.restart();
        for (StreamEvent event : events) {
            if (event.id() == StreamEvent.NO_ID || event.id() > lastEvent) {
                lastEvent = Math.max(lastEvent, event.id());
                exchange.piece(event.bytes());
            }
        }
    }

    @Override
    public void onComplete(StreamRun run, byte[] rest) {
        if (exchange.isDone()) {
            return;
        }
        if (!run.gotEvents() && !exchange.isBegun()) {
            onOther(run, 200, run.headers(), Unpooled.wrappedBuffer(rest));
            return;
        }
        if (rest.length > 0) {
            exchange.piece(rest);
        }
        exchange.endStream();
    }

    @Override
    public void onRefused(StreamRun run, int status) {
        if (exchange.isDone()) {
            return;
        }
        run.target().refused(REFUSED_MILLIS, now());
        tried.add(run.target().endpoint().id());
        if (!decodeElsewhere("refused unrun with " + status)) {
            again("refused unrun with " + status, true);
        }
    }

    @Override
    public void onOther(StreamRun run, int status, HttpHeaders headers, ByteBuf body) {
        if (exchange.isDone()) {
            return;
        }
        run.target().health().failed(false, now());
        ranAt(run);
        if (exchange.isBegun() || mayRunElsewhere()) {
            tried.add(run.target().endpoint().id());
            again("answered " + status, true);
        } else {
            exchange.pass(status, headers, body);
        }
    }

    @Override
    public void onBroken(StreamRun run, boolean sent, String reason) {
        run.target().health().failed(!sent, now());
        if (exchange.isDone()) {
            return;
        }
        tried.add(run.target().endpoint().id());
        if (sent) {
            ranAt(run);
            exchange.crashed();
        }
        if (sent && (!mayRunElsewhere() || exchange.isSuspect())) {
            exchange.fail(BAD_GATEWAY, "broken: " + reason);
        } else if (sent || !decodeElsewhere("not sent: " + reason)) {
            again("broken: " + reason, sent);
        }
    }

    /**
     * Has another engine take memory over that the first one refused.
     *
     * @return whether there was such memory and an engine for it
     */
    private boolean decodeElsewhere(String reason) {
        long now = now();
        Optional<EndpointState> other = parts.fleet().usable(pool, tried, now).stream()
                .filter(state -> state.endpoint().role() == EndpointRole.DECODE)
                .min(Comparator.comparingInt(state -> state.engine().totalRunning()));
        if (!memory.isThere()
                || other.isEmpty()
                || sends >= MAX_SENDS
                || !parts.repeats().tryRepeat(pool, 1, now)) {
            return false;
        }
        log.elsewhere(reason, other.get());
        placement = new Placement(other.get().engine(), placement.reader(), placement.firstMillis(), 0);
        decode(now);
        return true;
    }

    private void ranAt(StreamRun run) {
        if (run.countOnce()) {
            ranAt++;
            exchange.ran();
        }
    }

    private boolean mayRunElsewhere() {
        return exchange.route().resumable() && ranAt < exchange.route().maxEndpoints();
    }

    private void again(String reason, boolean arrived) {
        memory.free();
        long now = now();
        boolean allowed = sends < MAX_SENDS
                && exchange.remainingMillis(now) > 0
                && (!arrived || parts.repeats().tryRepeat(pool, READ_AND_DECODE, now));
        log.again(reason, lastEvent, allowed);
        if (allowed) {
            place(now);
        } else {
            exchange.giveUp(ranAt > 0, RETRY_AFTER_MILLIS, reason);
        }
    }

    private void timedOut() {
        exchange.fail(GATEWAY_TIMEOUT, "no whole answer in time");
    }

    private long patienceMillis() {
        return Math.max(
                LEAST_PATIENCE_MILLIS,
                (long) PATIENCE_TARGETS * exchange.route().targetMillis());
    }

    /**
     * Gives the present engine up where another one may go on.
     */
    private void silent() {
        if (exchange.isDone()) {
            return;
        }
        if (current instanceof StreamRun run) {
            run.target().health().failed(true, now());
            if (exchange.route().resumable() && ranAt + 1 < exchange.route().maxEndpoints()) {
                run.cancel();
                onBroken(run, true, "silent");
            }
        } else if (current instanceof PromptRead read) {
            read.cancel();
            read.onBroken(Breakage.sent("silent"));
        }
    }

    private long now() {
        return parts.clockMillis().getAsLong();
    }
}
