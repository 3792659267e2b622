package org.ragwortpitch.edge.traffic;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.admission.EngineRoom;
import org.ragwortpitch.admission.ExpectedOutput;
import org.ragwortpitch.admission.WaitingRequest;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.Placement;

/**
 * Has one generation wait in this daemon while no engine has room for it, where the configuration has accounts without
 * a rate limit; elsewhere it is placed at once. Confined to the traffic thread.
 */
final class GenerationAdmission {

    private static final int UNAVAILABLE = 503;

    /** All accounts have the same weight, as the configuration has no field for others. */
    private static final long WEIGHT = 1;

    private final WaitingGenerations waiting;
    private final EngineSelector engines;
    private final Exchange exchange;
    private final Generation generation;
    private final CallerPatience patience;
    private final BiConsumer<Optional<Placement>, Long> onTurn;
    private Optional<SoftwareVersion> version = Optional.empty();
    private Set<EndpointId> tried = Set.of();
    private boolean counted;
    private boolean waited;

    /**
     * Creates the admission of a request.
     *
     * @param onTurn called with the engines that it was given, and the time; without engines if none can decode
     */
    GenerationAdmission(
            WaitingGenerations waiting,
            EngineSelector engines,
            Exchange exchange,
            Generation generation,
            CallerPatience patience,
            BiConsumer<Optional<Placement>, Long> onTurn) {
        this.waiting = waiting;
        this.engines = engines;
        this.exchange = exchange;
        this.generation = generation;
        this.patience = patience;
        this.onTurn = onTurn;
    }

    /**
     * Asks for engines, which are given at once or later. A request that may have been executed gets them at once, as
     * its caller has waited for its turn before.
     *
     * @param streamVersion   the software version at which the stream has to go on; empty if it may begin at any
     * @param triedEngines    engines that the generation was sent to
     * @param mayHaveExecuted whether an engine may have begun to execute it
     */
    void request(
            Optional<SoftwareVersion> streamVersion,
            Set<EndpointId> triedEngines,
            boolean mayHaveExecuted,
            long nowMillis) {
        version = streamVersion;
        tried = triedEngines;
        Optional<Placement> any = engines.place(version, tried, nowMillis);
        if (any.isEmpty() || mayHaveExecuted || !waiting.isActive(pool())) {
            onTurn.accept(any, nowMillis);
            return;
        }
        EngineSpec spec = any.get().decodeEngine().spec();
        if (!EngineRoom.canHold(spec, generation.promptTokens())) {
            exchange.refuse(
                    UNAVAILABLE,
                    0,
                    "the prompt of " + generation.promptTokens() + " tokens exceeds the KV cache of the engines, "
                            + spec.kvCapacityTokens() + " tokens: shorten it");
            return;
        }
        waited = false;
        if (waiting.isEmpty(pool()) && hasRoom(any.get())) {
            // Almost all requests find room, and a second search would cost as much processor time as the first.
            give(any, waiting::recordServed, nowMillis);
            return;
        }
        double ownMillis = any.get().firstEventMillis() - any.get().waitMillis();
        waiting.enter(waitingRequest(EngineRoom.requiredTokens(spec, tokens()), (long) ownMillis, nowMillis));
    }

    private WaitingRequest<GenerationAdmission> waitingRequest(long tokens, long ownMillis, long nowMillis) {
        long limitMillis = Math.min(
                exchange.remainingMillis(nowMillis),
                exchange.request().arrivedMillis() + patience.millis() - nowMillis);
        int priority = exchange.account()
                .map(AccountSpec::priority)
                .orElse(OptionalInt.empty())
                .orElse(exchange.route().priority());
        return new WaitingRequest<>(
                this,
                exchange.account().map(AccountSpec::id).orElse(AccountRateLimits.WITHOUT_KEY),
                WEIGHT,
                priority,
                tokens,
                exchange.request().body().readableBytes(),
                nowMillis,
                nowMillis + limitMillis - ownMillis);
    }

    /**
     * Finds engines that have room and whose queues are short enough.
     *
     * @param allowed matches the engines that are not kept for another request
     */
    Optional<Placement> findRoom(Predicate<EngineState> allowed, long nowMillis) {
        return engines.placeWithRoom(
                        version,
                        tried,
                        nowMillis,
                        engine -> allowed.test(engine) && EngineRoom.fits(engine, tokensAt(engine)))
                .filter(this::isAdmissible);
    }

    private boolean hasRoom(Placement placement) {
        return EngineRoom.fits(placement.decodeEngine(), tokensAt(placement.decodeEngine()))
                && placement
                        .prefillEngine()
                        .map(engine -> EngineRoom.fits(engine, tokensAt(engine)))
                        .orElse(true)
                && isAdmissible(placement);
    }

    private boolean isAdmissible(Placement placement) {
        return placement.isAdmissible(
                exchange.route().targetMillis(), exchange.route().priority());
    }

    private long tokensAt(EngineState engine) {
        return engine.endpoint().role() == EndpointRole.PREFILL ? generation.promptTokens() : tokens();
    }

    /**
     * Returns the KV cache tokens that the request is counted with at a decode engine: those of its prompt and of its
     * expected output, or of its output limit where requests never wait.
     */
    long tokens() {
        String hint = exchange.request().headers().get(Headers.LENGTH_HINT);
        return waiting.isActive(pool())
                ? generation.promptTokens() + (long) ExpectedOutput.tokens(hint, generation.maxOutputTokens())
                : generation.quotaTokens();
    }

    /**
     * Gives the request engines, or none if the pool has none that can decode.
     *
     * @param onFirst called with the account and the tokens to be counted as served, if that was not done before
     */
    void give(Optional<Placement> placement, BiConsumer<AccountId, Long> onFirst, long nowMillis) {
        if (placement.isPresent() && !counted) {
            counted = true;
            onFirst.accept(exchange.account().map(AccountSpec::id).orElse(AccountRateLimits.WITHOUT_KEY), tokens());
        }
        onTurn.accept(placement, nowMillis);
    }

    /**
     * Returns the engines for the request as if all had room; empty if none can decode.
     */
    Optional<Placement> anyEngines(long nowMillis) {
        return engines.place(version, tried, nowMillis);
    }

    /**
     * Refuses the request, which was not executed.
     */
    void refuse(long retryAfterMillis, String reason) {
        exchange.refuse(UNAVAILABLE, retryAfterMillis, reason);
    }

    /**
     * Ends the wait of a request whose exchange has ended, and gives the room that it had to others.
     */
    void end() {
        waiting.leave(this);
    }

    /**
     * Records that the request was not placed at once since it last asked for engines.
     */
    void markWaited() {
        waited = true;
    }

    boolean hasWaited() {
        return waited;
    }

    PoolId pool() {
        return engines.pool();
    }

    String attemptId() {
        return exchange.attemptId();
    }
}
