package org.ragwortpitch.placement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.overflow.RequestDomains;

/**
 * Chooses the engines with the lowest cost: the estimated time to the first event plus penalties, expressed in
 * milliseconds, for traffic between failure domains, KV cache transfers and saturation. Requests of one subject prefer
 * one prefill engine, chosen by rendezvous hashing (Thaler and Ravishankar 1998), so that all daemons choose the same
 * engine without communicating and each subject's prefix is cached once.
 */
public final class EngineChooser {

    /** Penalty for an engine in another failure domain, in milliseconds: the price of the traffic against latency. */
    private static final double OTHER_DOMAIN_MILLIS = 20;

    /** Penalty for a KV cache transfer besides its duration, in milliseconds: the transferred bytes have a price. */
    private static final double TRANSFER_MILLIS = 20;

    /** How much lower the cost of another engine must be than that of a subject's preferred one, in milliseconds. */
    private static final double PREFERENCE_MILLIS = 40;

    /** Penalty for each running request, which slows the decode steps of all others, in milliseconds. */
    private static final double RUNNING_MILLIS = 1.5;

    /** Share of the slots or of the KV cache beyond which an engine is saturated and queues or preempts requests. */
    private static final double SATURATED_SHARE = 0.85;

    /** Penalty for saturation, in milliseconds per tenth of the capacity beyond the saturated share. */
    private static final double SATURATED_MILLIS = 400;

    private static final double TENTHS_PER_UNIT = 10;

    /** An engine below this time relative to its pool is fast: clearly more than the error of what was learned. */
    private static final double FAST_RATIO = 0.85;

    /** Share of the target within which another engine has to serve a prompt that leaves the fast ones alone. */
    private static final double COMFORTABLE_SHARE = 0.7;

    /** Share of the target up to which a request keeps to its domain; beyond, estimate errors often make it miss. */
    private static final double LIKELY_SHARE = 0.85;

    /** Wait on another engine, in milliseconds, above which the fast ones take any prompt: they would idle else. */
    private static final double MAX_RESERVING_WAIT_MILLIS = 20;

    /** How much more a fast engine costs than another that would do, in milliseconds. */
    private static final double RESERVED_MILLIS = 1;

    private final FailureDomain domain;

    /**
     * Creates a chooser.
     *
     * @param domain the daemon's failure domain
     */
    public EngineChooser(FailureDomain domain) {
        this.domain = domain;
    }

    /**
     * Chooses for a request without a latency target.
     *
     * @param engines the candidates, of all roles
     * @return empty if there is no decode engine among the candidates
     */
    public Optional<Placement> choose(Generation generation, Collection<EngineState> engines) {
        return choose(generation, engines, 0);
    }

    /**
     * Chooses a decode engine and, where that costs less, a separate prefill engine. Fast prefill engines are left to
     * the prompts that need them to meet their target.
     *
     * @param engines      the candidates, of all roles
     * @param targetMillis the target for the time to the first event, in milliseconds
     * @return empty if there is no decode engine among the candidates
     */
    public Optional<Placement> choose(Generation generation, Collection<EngineState> engines, double targetMillis) {
        return chooseAmong(generation, engines, targetMillis);
    }

    /**
     * Chooses engines within the domains that a request prefers. If it is likely to miss its target there, it is placed
     * among all engines, as without a preference.
     *
     * @param engines      the candidates, of all roles
     * @param targetMillis the target for the time to the first event, in milliseconds; 0 if there is none, in which
     *                     case the preference is ignored
     * @return empty if there is no decode engine among the candidates
     */
    public Optional<Placement> choose(
            Generation generation, Collection<EngineState> engines, double targetMillis, RequestDomains domains) {
        if (domains.isAny() || targetMillis <= 0) {
            return chooseAmong(generation, engines, targetMillis);
        }
        Predicate<FailureDomain> preferred = domains.ownOnly()
                ? domain::equals
                : candidate -> !domains.avoided().contains(candidate);
        Optional<Placement> near = chooseAmong(generation, inDomains(engines, preferred), targetMillis);
        double staysShare = domains.target().isPresent() ? COMFORTABLE_SHARE : LIKELY_SHARE;
        if (near.filter(placement -> serves(placement, generation, staysShare, targetMillis))
                .isPresent()) {
            return near;
        }
        Optional<Placement> away = domains.target()
                .filter(target -> hasDecodeEngine(engines, target))
                .flatMap(target -> chooseAmong(generation, inDomains(engines, target::equals), targetMillis))
                .filter(placement -> serves(placement, generation, LIKELY_SHARE, targetMillis));
        if (away.isPresent() && isWorthLeaving(near, away.get(), generation)) {
            return away;
        }
        return near.filter(placement -> serves(placement, generation, LIKELY_SHARE, targetMillis))
                .or(() -> chooseAmong(generation, engines, targetMillis));
    }

    private static boolean isWorthLeaving(Optional<Placement> near, Placement away, Generation generation) {
        return near.filter(placement -> !isSaturated(placement.decodeEngine(), generation))
                .filter(placement -> placement.firstEventMillis() <= away.firstEventMillis() + OTHER_DOMAIN_MILLIS)
                .isEmpty();
    }

    /**
     * Returns whether a placement is within a share of the target, admits requests of every priority, and leaves the
     * decode engine unsaturated, so that a preference refuses no request that is otherwise served.
     */
    private static boolean serves(Placement placement, Generation generation, double share, double targetMillis) {
        return placement.firstEventMillis() <= share * targetMillis
                && placement.isAdmissible((int) targetMillis, Integer.MAX_VALUE)
                && !isSaturated(placement.decodeEngine(), generation);
    }

    /**
     * Returns the engines of some domains; for a role that they have no engines of, those of all domains.
     */
    private static List<EngineState> inDomains(Collection<EngineState> engines, Predicate<FailureDomain> domains) {
        Set<EndpointRole> present = engines.stream()
                .filter(engine -> domains.test(engine.endpoint().domain()))
                .map(engine -> engine.endpoint().role())
                .collect(Collectors.toSet());
        return engines.stream()
                .filter(engine -> domains.test(engine.endpoint().domain())
                        || !present.contains(engine.endpoint().role()))
                .toList();
    }

    private static boolean hasDecodeEngine(Collection<EngineState> engines, FailureDomain target) {
        return engines.stream()
                .map(EngineState::endpoint)
                .anyMatch(endpoint -> endpoint.role() == EndpointRole.DECODE
                        && endpoint.domain().equals(target));
    }

    private Optional<Placement> chooseAmong(
            Generation generation, Collection<EngineState> engines, double targetMillis) {
        List<EngineState> decodeEngines = withRole(engines, EndpointRole.DECODE);
        List<EngineState> prefillEngines = withRole(engines, EndpointRole.PREFILL);
        Choice best = null;
        Optional<PrefillChoice> prefill = bestPrefill(generation, prefillEngines, targetMillis);
        for (EngineState decodeEngine : decodeEngines) {
            double penalty = penaltyMillis(decodeEngine, generation);
            double local = EngineEstimate.localMillis(decodeEngine, generation);
            best = cheaper(
                    best,
                    new Choice(
                            new Placement(
                                    decodeEngine,
                                    Optional.empty(),
                                    local,
                                    EngineEstimate.localWaitMillis(decodeEngine)),
                            local + penalty + EngineEstimate.streamDelayMillis(decodeEngine, generation)));
            if (prefill.isPresent()) {
                double time =
                        prefill.get().millis() + EngineEstimate.firstEventAfterTransferMillis(decodeEngine, generation);
                double cost = prefill.get().cost() - prefill.get().millis() + time + TRANSFER_MILLIS + penalty;
                best = cheaper(
                        best,
                        new Choice(
                                new Placement(
                                        decodeEngine,
                                        Optional.of(prefill.get().engine()),
                                        time,
                                        EngineEstimate.prefillWaitMillis(
                                                prefill.get().engine())),
                                cost));
            }
        }
        return Optional.ofNullable(best).map(Choice::placement);
    }

    private static Choice cheaper(Choice one, Choice other) {
        return one == null || other.cost() < one.cost() ? other : one;
    }

    private Optional<PrefillChoice> bestPrefill(
            Generation generation, List<EngineState> prefillEngines, double targetMillis) {
        Optional<EndpointId> preferred = preferred(generation.subject(), prefillEngines);
        List<PrefillChoice> choices = prefillEngines.stream()
                .map(engine -> prefillChoice(generation, engine, preferred))
                .toList();
        Optional<PrefillChoice> other = choices.stream()
                .filter(choice -> !isFast(choice.engine()) && wouldDo(choice, generation, targetMillis))
                .min(Comparator.comparingDouble(PrefillChoice::cost));
        return choices.stream()
                .map(choice ->
                        other.map(slower -> reserve(choice, slower, generation)).orElse(choice))
                .min(Comparator.comparingDouble(PrefillChoice::cost));
    }

    private PrefillChoice prefillChoice(Generation generation, EngineState engine, Optional<EndpointId> preferred) {
        double millis = EngineEstimate.prefillMillis(engine, generation);
        double discount = preferred.filter(engine.endpoint().id()::equals).isPresent() ? PREFERENCE_MILLIS : 0;
        return new PrefillChoice(engine, millis, millis + domainMillis(engine) - discount);
    }

    private static boolean isFast(EngineState engine) {
        return engine.slowness() < FAST_RATIO;
    }

    private static boolean wouldDo(PrefillChoice choice, Generation generation, double targetMillis) {
        double firstEventMillis =
                choice.millis() + EngineEstimate.firstEventAfterTransferMillis(choice.engine(), generation);
        return firstEventMillis <= COMFORTABLE_SHARE * targetMillis
                && EngineEstimate.prefillWaitMillis(choice.engine()) <= MAX_RESERVING_WAIT_MILLIS;
    }

    /**
     * Raises the cost of a fast engine above that of a slower one that would do, unless it has more of the prompt
     * cached.
     */
    private static PrefillChoice reserve(PrefillChoice choice, PrefillChoice slower, Generation generation) {
        boolean reserved = isFast(choice.engine())
                && EngineEstimate.uncachedTokens(choice.engine(), generation)
                        >= EngineEstimate.uncachedTokens(slower.engine(), generation);
        double cost = reserved ? Math.max(choice.cost(), slower.cost() + RESERVED_MILLIS) : choice.cost();
        return new PrefillChoice(choice.engine(), choice.millis(), cost);
    }

    private double penaltyMillis(EngineState engine, Generation generation) {
        return domainMillis(engine)
                + RUNNING_MILLIS * engine.totalRunning()
                + SATURATED_MILLIS * TENTHS_PER_UNIT * saturation(engine, generation);
    }

    private static boolean isSaturated(EngineState engine, Generation generation) {
        return saturation(engine, generation) > 0;
    }

    /**
     * Returns the part of the capacity by which an engine with this request is beyond the saturated share.
     */
    private static double saturation(EngineState engine, Generation generation) {
        double slots = (engine.totalRunning() + 1.0) / engine.spec().slots();
        double memory = (engine.totalKvCacheTokens() + generation.quotaTokens())
                / (double) engine.spec().kvCapacityTokens();
        return Math.max(0, Math.max(slots, memory) - SATURATED_SHARE);
    }

    private double domainMillis(EngineState engine) {
        return engine.endpoint().domain().equals(domain) ? 0 : OTHER_DOMAIN_MILLIS;
    }

    private static Optional<EndpointId> preferred(long subject, List<EngineState> engines) {
        return subject == 0
                ? Optional.empty()
                : engines.stream()
                        .map(engine -> engine.endpoint().id())
                        .max(Comparator.comparingLong(id -> weight(subject, id)));
    }

    private static long weight(long subject, EndpointId id) {
        byte[] name = id.value().getBytes(StandardCharsets.UTF_8);
        byte[] input = ByteBuffer.allocate(Long.BYTES + name.length)
                .putLong(subject)
                .put(name)
                .array();
        return MurmurHash3.hash128x64(input)[0];
    }

    private static List<EngineState> withRole(Collection<EngineState> engines, EndpointRole role) {
        return engines.stream()
                .filter(engine -> engine.endpoint().role() == role)
                .toList();
    }

    /**
     * A prefill engine with its estimated prefill time and its cost, both in milliseconds.
     */
    private record PrefillChoice(EngineState engine, double millis, double cost) {}

    /**
     * A placement with its cost in milliseconds.
     */
    private record Choice(Placement placement, double cost) {}
}
