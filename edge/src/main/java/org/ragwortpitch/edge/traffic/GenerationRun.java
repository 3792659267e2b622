package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.placement.EngineChooser;
import org.ragwortpitch.placement.EngineEstimate;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.Placement;

/**
 * Runs one generation on the engines of a pool: optional prefill on a separate engine, decode with streaming of whole
 * events in order, and retries within the retry budget. A stream that breaks off resumes on another engine if the route
 * allows it. Confined to the traffic thread.
 */
final class GenerationRun implements Cancellation, StreamListener {

    /** Sends of one request, refused ones included; further sends rarely find a free slot. */
    private static final int MAX_SENDS = 5;

    private final TrafficContext context;
    private final EngineSelector engines;
    private final Exchange exchange;
    private final PoolId pool;
    private final Generation generation;
    private final ProxyFallback fallback;
    private final GenerationLog log;
    private final TransferredKvCache kvCache;
    private final GenerationChecks checks;
    private final GenerationAdmission admission;
    private final StallDetector stallDetector;
    private final StreamResumption resumption;
    private final EventSequence sequence;
    private final Set<EndpointId> tried = new HashSet<>();
    private Cancellation current = Cancellation.NONE;
    private int sends;
    private int executions;
    private long decodeSlotMillis;
    private Placement placement;
    private Optional<String> retryReason = Optional.empty();

    GenerationRun(
            TrafficContext context,
            EngineChooser chooser,
            BufferingHttpCaller caller,
            Exchange exchange,
            PoolId pool,
            Generation generation,
            WaitingGenerations waiting,
            ProxyFallback fallback) {
        this.context = context;
        this.engines = context.engines(chooser, pool, generation, exchange);
        this.exchange = exchange;
        this.pool = pool;
        this.generation = generation;
        this.fallback = fallback;
        this.executions = fallback.earlierExecutions();
        this.sequence = new EventSequence(
                StreamEvent.parseId(exchange.request().headers().get(Headers.LAST_EVENT)));
        this.resumption = new StreamResumption(context, exchange, pool, sequence.lastId());
        this.log = new GenerationLog(
                exchange.attemptId(), event -> context.retryBudgets().describe(event, pool, now()));
        this.kvCache = new TransferredKvCache(
                caller, exchange.attemptId(), engine -> context.endpoints().mayCall(engine, now()));
        CallerPatience patience = CallerPatience.of(exchange.route());
        this.checks = new GenerationChecks(exchange, patience);
        this.admission = new GenerationAdmission(waiting, engines, exchange, generation, patience, this::placeOn);
        this.stallDetector = new StallDetector(context, patience.stallMillis(), this::onStall);
    }

    void start() {
        long now = now();
        ScheduledFuture<?> deadline = context.loop()
                .schedule(this::onDeadline, Math.max(1, exchange.remainingMillis(now)), TimeUnit.MILLISECONDS);
        Cancellation lossListener = context.contacts().onLoss(pool, this::onStall);
        exchange.whenDone(() -> {
            deadline.cancel(false);
            lossListener.cancel();
            stallDetector.stop();
            current.cancel();
            kvCache.free();
            admission.end();
        });
        resumption.resolve(() -> place(now()), reason -> exchange.failOrRefuse(false, 0, reason));
    }

    @Override
    public void cancel() {
        exchange.recordCallerLeft();
    }

    private void place(long now) {
        current = Cancellation.NONE;
        admission.request(resumption.version(), tried, executions > 0, now);
    }

    private void placeOn(Optional<Placement> choice, long now) {
        if (checks.refuseIfPoison(executions > 0)) {
            return;
        }
        if (choice.isEmpty()) {
            checks.refuseForLackOfEngines(
                    executions > 0,
                    resumption.version().filter(version -> !engines.hasDecoder(version)),
                    engines.describeOthers(tried),
                    context.endpoints().coldReason(pool, now),
                    context.endpoints().retryAfterMillis(pool, GenerationChecks.RETRY_AFTER_MILLIS, now));
            return;
        }
        placement = choice.get();
        boolean withPrefill = placement.prefillEngine().isPresent();
        boolean allowed = exchange.sends().tryReserve(withPrefill ? 2 : 1, withPrefill, now);
        retryReason.ifPresent(reason -> log.retry(reason, sequence.lastId(), allowed));
        if (!allowed) {
            exchange.failOrRefuse(
                    executions > 0, GenerationChecks.RETRY_AFTER_MILLIS, retryReason.orElse("retry budget is spent"));
            return;
        }
        EngineState prefillEngine = placement.prefillEngine().orElse(placement.decodeEngine());
        context.demands().recordPrefill(pool, EngineEstimate.uncachedTokens(prefillEngine, generation));
        if (executions == 0 && checks.refuseIfTooLate(placement, now)) {
            return;
        }
        log.placed(placement, generation, exchange.request().headers().get(Headers.RESUMED_ATTEMPT), sequence.lastId());
        context.recordTraffic(placement, generation, exchange.request().body().readableBytes());
        placement.prefillEngine().ifPresent(this::recordAssigned);
        recordAssigned(placement.decodeEngine());
        if (withPrefill) {
            prefill(placement.prefillEngine().get(), now);
        } else {
            decode(now);
        }
    }

    private void prefill(EngineState engine, long now) {
        EndpointState state = context.endpoints().find(engine.endpoint().id());
        state.health().sent(now);
        int uncached = EngineEstimate.uncachedTokens(engine, generation);
        double estimate = EngineEstimate.prefillMillis(engine, generation);
        RemotePrefill prefill = new RemotePrefill(
                state,
                generation.promptTokens(),
                uncached,
                handle -> {
                    log.prefilled(state, stallDetector.elapsedMillis(), uncached, estimate);
                    onPrefilled(state, handle);
                },
                this::onPrefillFailed);
        current = prefill;
        state.recordSentBlocks(generation.parts());
        stallDetector.watch(state, now);
        prefill.start(context, exchange.outboundToEngine(state, now));
    }

    private void onPrefilled(EndpointState source, String handle) {
        kvCache.recordPrefill(source, handle);
        if (exchange.isDone()) {
            kvCache.free();
            return;
        }
        exchange.sends().recordPrefillAccepted();
        source.health().succeeded();
        source.recordActivity(now());
        decode(now());
    }

    private void onPrefillFailed(CallFailure failure) {
        if (exchange.isDone()) {
            return;
        }
        if (!failure.sent()) {
            fallback.recordFailedConnect();
        }
        tried.add(placement.prefillEngine().orElseThrow().endpoint().id());
        sends++;
        retryOrGiveUp(failure.reason());
    }

    private void decode(long now) {
        if (checks.refuseIfPoison(executions > 0)) {
            return;
        }
        EngineState decodeEngine = placement.decodeEngine();
        EndpointState state = context.endpoints().find(decodeEngine.endpoint().id());
        if (!context.endpoints().takesAssigned(state, decodeSlotMillis, now)) {
            tried.add(decodeEngine.endpoint().id());
            transferOrRetry("the decode engine is leaving, asked for rest, is cold or was evacuated");
            return;
        }
        int uncached = kvCache.isAvailable() ? 1 : EngineEstimate.uncachedTokens(decodeEngine, generation);
        state.health().sent(now);
        sends++;
        OutboundRequest request = exchange.outboundToEngine(state, now);
        if (kvCache.isAvailable()) {
            request.headers().set(Headers.KV_SOURCE, kvCache.source());
        }
        if (sequence.lastId() != StreamEvent.NO_ID) {
            request.headers().set(Headers.LAST_EVENT, sequence.lastId());
        }
        EngineStream run = new EngineStream(state, admission.tokens(), uncached, sequence, this);
        current = run;
        state.recordSentBlocks(generation.parts());
        stallDetector.watch(state, now);
        run.start(context, request);
    }

    @Override
    public void onEvents(EngineStream run, List<StreamEvent> events) {
        if (exchange.isDone()) {
            return;
        }
        countExecution(run);
        exchange.sends().settle(now());
        if (!exchange.isStreamBegun() && !events.isEmpty()) {
            run.recordFirstEvent(generation, kvCache.isAvailable());
            run.target().health().succeeded();
            resumption.recordBegun(run.target().endpoint().version());
            exchange.recordResponse(run.target(), run.sentMillis());
            exchange.beginStream(200, run.headers());
            context.metrics()
                    .recordFirstEvent(
                            exchange.route(), now() - exchange.request().arrivedMillis());
        }
        kvCache.recordTransferred();
        run.target().recordActivity(now());
        stallDetector.restart();
        events.forEach(event -> exchange.forwardChunk(event.bytes()));
    }

    @Override
    public void onComplete(EngineStream run, byte[] rest) {
        if (exchange.isDone()) {
            return;
        }
        if (rest.length > 0 || !exchange.isStreamBegun()) {
            retryOtherResponse(
                    run,
                    HttpResponseStatus.OK.code(),
                    () -> exchange.forwardResponse(
                            HttpResponseStatus.OK.code(), run.headers(), Unpooled.wrappedBuffer(rest)));
            return;
        }
        exchange.endStream();
    }

    @Override
    public void onRefused(EngineStream run, int status) {
        if (exchange.isDone()) {
            return;
        }
        run.target().recordRefusal(RemotePrefill.REFUSAL_PAUSE_MILLIS, now());
        tried.add(run.target().endpoint().id());
        transferOrRetry("engine refused the request before execution: status " + status);
    }

    @Override
    public void onOtherResponse(EngineStream run, int status, HttpHeaders headers, ByteBuf body) {
        if (exchange.isDone()) {
            return;
        }
        retryOtherResponse(run, status, () -> checks.forwardOther(sequence, status, headers, body));
    }

    /**
     * Retries a request whose engine answered with something other than the rest of the stream.
     *
     * @param ifLast forwards the answer; run if no other engine may be tried and no stream has begun
     */
    private void retryOtherResponse(EngineStream run, int status, Runnable ifLast) {
        run.target().health().failed(false, now());
        countExecution(run);
        exchange.recordResponse(run.target(), run.sentMillis());
        String reason = "engine answered with something other than a stream: status " + status;
        if (checks.mayRunAgain(sequence, executions)) {
            tried.add(run.target().endpoint().id());
            retryOrGiveUp(reason);
        } else if (exchange.isStreamBegun()) {
            exchange.fail(HttpResponseStatus.BAD_GATEWAY.code(), reason);
        } else {
            ifLast.run();
        }
    }

    @Override
    public void onFailed(EngineStream run, boolean sent, String reason) {
        run.target().health().failed(!sent, now());
        if (exchange.isDone()) {
            return;
        }
        tried.add(run.target().endpoint().id());
        if (sent) {
            countExecution(run);
            exchange.recordCrash(run.target(), run.hasEvents(), run.isConnectionLost() && run.hasJustBegun(now()));
        } else {
            fallback.recordFailedConnect();
        }
        if (sent && !checks.mayRunAgain(sequence, executions)) {
            exchange.fail(HttpResponseStatus.BAD_GATEWAY.code(), "no complete response from the engine: " + reason);
        } else if (sent) {
            retryOrGiveUp("no complete response from the engine: " + reason);
        } else {
            transferOrRetry("request not sent to the engine: " + reason);
        }
    }

    /**
     * Hands a prefilled KV cache that one decode engine did not take to another one; retries the whole request if
     * there is no KV cache, no other engine, or no send or retry budget left.
     */
    private void transferOrRetry(String reason) {
        long now = now();
        Optional<EndpointState> other = engines.leastLoadedDecoder(resumption.version(), tried, now);
        if (!context.contacts().isLost(pool)
                && kvCache.isAvailable()
                && other.isPresent()
                && sends < MAX_SENDS
                && exchange.sends().tryReserve(1, false, now)) {
            log.transferredElsewhere(reason, other.get());
            recordAssigned(other.get().engine());
            placement = new Placement(other.get().engine(), placement.prefillEngine(), placement.firstEventMillis(), 0);
            decode(now);
        } else {
            retryOrGiveUp(reason);
        }
    }

    private void recordAssigned(EngineState engine) {
        decodeSlotMillis = context.endpoints().recordSent(engine.endpoint().id(), now());
    }

    private void countExecution(EngineStream run) {
        if (run.markCounted()) {
            executions++;
            exchange.recordExecution();
        }
    }

    private void retryOrGiveUp(String reason) {
        kvCache.free();
        Optional<Cancellation> elsewhere = fallback.tryProxy(executions, sequence, resumption.version());
        if (elsewhere.isPresent()) {
            stallDetector.stop();
            current = elsewhere.get();
            return;
        }
        long now = now();
        if (sends < MAX_SENDS && exchange.remainingMillis(now) > 0) {
            retryReason = Optional.of(reason);
            place(now);
        } else {
            log.retry(reason, sequence.lastId(), false);
            exchange.failOrRefuse(executions > 0, GenerationChecks.RETRY_AFTER_MILLIS, reason);
        }
    }

    private void onDeadline() {
        exchange.fail(
                HttpResponseStatus.GATEWAY_TIMEOUT.code(),
                "no complete response within the deadline of the request and the timeout of the route");
    }

    /**
     * Abandons a stalled engine if another engine may resume the request.
     */
    private void onStall() {
        if (exchange.isDone()) {
            return;
        }
        if (current instanceof EngineStream run) {
            run.target().health().failed(true, now());
            if (checks.mayRunAgain(sequence, executions + 1)) {
                run.cancel();
                onFailed(run, true, "no data before the stall timeout");
            }
        } else if (current instanceof RemotePrefill prefill) {
            prefill.cancel();
            prefill.onFailure(CallFailure.sent("no data before the stall timeout"));
        }
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
