package org.ragwortpitch.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.deployment.EndpointIncarnation;

/**
 * Detects prefix blocks and requests that crash each endpoint which begins to execute them. The daemons of a fleet tell
 * each other all crashes they know, so that each of them, also one that has just started, comes to the same result. A
 * request that completes clears its causes. Bounded; confined to one thread.
 */
public final class PoisonTracker {

    /** How long a crash counts against a cause, in milliseconds. */
    public static final long RETENTION_MILLIS = 900_000;

    /** Most crashes that are kept; beyond it, the oldest are dropped, and what they showed is remembered. */
    static final int MAX_CRASHES = 48;

    private static final int MAX_CAUSES_PER_REQUEST = 17;

    private static final int MAX_COMPLETED_PER_KIND = 10_000;

    private static final int MAX_REMEMBERED = 1_000;

    /** How long before a crash a cause must have been served to count as proven, in milliseconds. */
    private static final long PROVEN_MILLIS = 60_000;

    /** An endpoint that responds within this time after a crash cannot have restarted, in milliseconds. */
    private static final long MIN_RESTART_MILLIS = 1_500;

    /** How long a crash without suspects is kept, in milliseconds, so that all daemons learn that it has none. */
    private static final long SETTLED_MILLIS = 10_000;

    private final Map<EndpointIncarnation, EndpointCrash> crashes = new LinkedHashMap<>();

    /** When a request with the cause last completed, least recently used first. */
    private final Map<CrashCause.Kind, Map<CrashCause, Long>> completedMillis = new EnumMap<>(CrashCause.Kind.class);

    private final Map<EndpointIncarnation, Long> changedMillis = new HashMap<>();

    /** Until when causes are known although crashes that show it were dropped, least recently remembered first. */
    private final Map<CrashCause, Long> rememberedMillis = new LinkedHashMap<>();

    private Set<CrashCause> poison = Set.of();

    /**
     * Creates a tracker without crashes.
     */
    public PoisonTracker() {
        for (CrashCause.Kind kind : CrashCause.Kind.values()) {
            completedMillis.put(kind, new Completions());
        }
    }

    /**
     * Records that an endpoint broke a request off before it began to respond to it.
     *
     * @param causes the possible causes in the request, the least specific first; those in the middle of a very long
     *               list are not tracked
     */
    public void crashed(EndpointIncarnation endpoint, List<CrashCause> causes, long nowMillis) {
        List<CrashCause> tracked = causes;
        if (causes.size() > MAX_CAUSES_PER_REQUEST) {
            tracked = new ArrayList<>(causes.subList(0, MAX_CAUSES_PER_REQUEST - 1));
            tracked.add(causes.get(causes.size() - 1));
        }
        learn(EndpointCrash.of(endpoint, tracked, nowMillis), nowMillis);
    }

    /**
     * Merges what another daemon knows about a crash.
     *
     * @param crash its report, with times of this daemon's monotonic clock
     */
    public void learn(EndpointCrash crash, long nowMillis) {
        if (isExpired(crash, nowMillis)) {
            return;
        }
        EndpointCrash before = crashes.get(crash.endpoint());
        if (before == null && isOlderThanAllKept(crash)) {
            return;
        }
        EndpointCrash after = withCompletions(before == null ? crash : before.merge(crash));
        if (after != before) {
            put(after, nowMillis);
            evaluate(nowMillis);
        }
    }

    /**
     * Records that an endpoint has begun to respond to a request, which refutes a crash before the request was sent.
     *
     * @param sentMillis when the request was sent
     */
    public void responded(EndpointIncarnation endpoint, long sentMillis, long nowMillis) {
        EndpointCrash crash = crashes.get(endpoint);
        if (crash != null
                && crash.standing() == CrashStanding.REPORTED
                && sentMillis > crash.atMillis()
                && nowMillis - crash.atMillis() < MIN_RESTART_MILLIS) {
            put(crash.withStanding(CrashStanding.REFUTED), nowMillis);
            evaluate(nowMillis);
        }
    }

    /**
     * Withdraws the crash of an endpoint, as it turned out that only the path to it broke.
     */
    public void withdraw(EndpointIncarnation endpoint, long nowMillis) {
        addStanding(endpoint, CrashStanding.REFUTED, nowMillis);
    }

    /**
     * Confirms the crash of an endpoint, whatever refuted it before.
     */
    public void confirm(EndpointIncarnation endpoint, long nowMillis) {
        addStanding(endpoint, CrashStanding.CONFIRMED, nowMillis);
    }

    private void addStanding(EndpointIncarnation endpoint, CrashStanding standing, long nowMillis) {
        EndpointCrash crash = crashes.get(endpoint);
        if (crash != null && crash.standing().compareTo(standing) < 0) {
            put(crash.withStanding(standing), nowMillis);
            evaluate(nowMillis);
        }
    }

    /**
     * Records that a request has completed, which clears its causes of all crashes so far.
     *
     * @param causes the possible causes in the request
     */
    public void completed(List<CrashCause> causes, long nowMillis) {
        causes.forEach(cause -> completedMillis.get(cause.kind()).put(cause, nowMillis));
        if (rememberedMillis.keySet().removeAll(causes)) {
            evaluate(nowMillis);
        }
        if (crashes.values().stream().anyMatch(crash -> causes.stream().anyMatch(crash::isSuspect))) {
            for (EndpointCrash crash : List.copyOf(crashes.values())) {
                EndpointCrash after = withCompletions(crash);
                if (after != crash) {
                    put(after, nowMillis);
                }
            }
            evaluate(nowMillis);
        }
    }

    /**
     * Returns the first cause in a request that crashes endpoints; empty if none is known to.
     *
     * @param causes the possible causes in the request, the least specific first
     */
    public Optional<CrashCause> poisonIn(List<CrashCause> causes, long nowMillis) {
        if (poison.isEmpty()) {
            return Optional.empty();
        }
        if (crashes.values().stream().anyMatch(crash -> isExpired(crash, nowMillis))
                || rememberedMillis.values().stream().anyMatch(until -> until <= nowMillis)) {
            evaluate(nowMillis);
        }
        return causes.stream().filter(poison::contains).findFirst();
    }

    /**
     * Returns the number of known crashes that a cause may be responsible for.
     */
    public long crashesUnder(CrashCause cause) {
        return crashes.values().stream().filter(crash -> crash.isSuspect(cause)).count();
    }

    /**
     * Returns the causes that are known to crash endpoints.
     */
    public Set<CrashCause> poison() {
        return poison;
    }

    /**
     * Returns all that is known about crashes, to tell other daemons.
     */
    public Collection<EndpointCrash> crashes(long nowMillis) {
        if (crashes.values().stream().anyMatch(crash -> isObsolete(crash, nowMillis))) {
            evaluate(nowMillis);
        }
        return List.copyOf(crashes.values());
    }

    /**
     * Returns the crashes of which more is known since a time, to tell other daemons.
     */
    public Collection<EndpointCrash> crashesChangedSince(long sinceMillis, long nowMillis) {
        return crashes(nowMillis).stream()
                .filter(crash -> changedMillis.get(crash.endpoint()) >= sinceMillis)
                .toList();
    }

    private void put(EndpointCrash crash, long nowMillis) {
        crashes.put(crash.endpoint(), crash);
        changedMillis.put(crash.endpoint(), nowMillis);
    }

    /** A crash that was dropped for lack of room would otherwise come back with the next gossip. */
    private boolean isOlderThanAllKept(EndpointCrash crash) {
        return crashes.size() >= MAX_CRASHES
                && crashes.values().stream().allMatch(kept -> kept.atMillis() > crash.atMillis());
    }

    private EndpointCrash withCompletions(EndpointCrash crash) {
        EndpointCrash result = crash;
        for (CrashCause cause : crash.causes()) {
            Long atMillis = completedMillis.get(cause.kind()).get(cause);
            if (atMillis == null) {
                continue;
            }
            if (atMillis >= crash.atMillis()) {
                result = result.withServed(cause);
            } else if (crash.atMillis() - atMillis <= PROVEN_MILLIS) {
                result = result.withProven(cause);
            }
        }
        return result;
    }

    private void evaluate(long nowMillis) {
        crashes.values().removeIf(crash -> isObsolete(crash, nowMillis));
        rememberedMillis.values().removeIf(until -> until <= nowMillis);
        Set<CrashCause> shown = PoisonCauses.of(unexplained());
        while (crashes.size() > MAX_CRASHES) {
            EndpointCrash dropped = crashes.values().stream()
                    .min(Comparator.comparingLong(EndpointCrash::atMillis))
                    .orElseThrow();
            crashes.remove(dropped.endpoint());
            shown.stream().filter(dropped::isSuspect).forEach(cause -> remember(cause, dropped.atMillis()));
        }
        shown.addAll(rememberedMillis.keySet());
        poison = Set.copyOf(shown);
        changedMillis.keySet().retainAll(crashes.keySet());
    }

    /** Returns the crashes that no remembered cause explains. */
    private List<EndpointCrash> unexplained() {
        return crashes.values().stream()
                .filter(crash -> rememberedMillis.keySet().stream().noneMatch(crash::isSuspect))
                .toList();
    }

    private void remember(CrashCause cause, long crashMillis) {
        rememberedMillis.merge(cause, crashMillis + RETENTION_MILLIS, Math::max);
        if (rememberedMillis.size() > MAX_REMEMBERED) {
            rememberedMillis.remove(rememberedMillis.keySet().iterator().next());
        }
    }

    private static boolean isExpired(EndpointCrash crash, long nowMillis) {
        return nowMillis - crash.atMillis() >= RETENTION_MILLIS;
    }

    private static boolean isObsolete(EndpointCrash crash, long nowMillis) {
        return isExpired(crash, nowMillis) || !crash.hasSuspects() && nowMillis - crash.atMillis() >= SETTLED_MILLIS;
    }

    /**
     * When requests last completed, least recently used first.
     */
    private static final class Completions extends LinkedHashMap<CrashCause, Long> {

        private static final long serialVersionUID = 1;

        Completions() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashCause, Long> eldest) {
            return size() > MAX_COMPLETED_PER_KIND;
        }
    }
}
