package org.ragwortpitch.poison;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortpitch.deployment.EndpointIncarnation;

/**
 * What the daemons know about the crash of one incarnation of an endpoint. Daemons merge what each of them has seen;
 * merging is commutative, associative and idempotent, so that reports may be lost, repeated and reordered.
 *
 * @param endpoint the endpoint
 * @param atMillis when the crash was first seen, in milliseconds of the monotonic clock
 * @param requests the possible causes, the least specific first, of each request that the endpoint had not begun to
 *                 respond to. An endpoint crashes when it begins to respond, so it did not crash on one that it was
 *                 responding to.
 * @param served   those of the causes with which a request has completed on any endpoint since the crash
 * @param proven   those of the causes with which a request had completed shortly before the crash
 * @param standing what is known of the endpoint's end
 */
public record EndpointCrash(
        EndpointIncarnation endpoint,
        long atMillis,
        Set<List<CrashCause>> requests,
        Set<CrashCause> served,
        Set<CrashCause> proven,
        CrashStanding standing) {

    /** Most requests that are kept; endpoints rarely have more that they have not begun to respond to. */
    static final int MAX_REQUESTS = 32;

    /**
     * Copies the collections, and drops requests beyond the limit: the same ones in whatever order they were reported,
     * but others for another endpoint, so that no request is dropped from all its crashes.
     */
    public EndpointCrash {
        requests = requests.size() <= MAX_REQUESTS
                ? Set.copyOf(requests)
                : requests.stream()
                        .sorted(Comparator.<List<CrashCause>>comparingInt(causes -> hash(endpoint, causes))
                                .thenComparing(List::toString))
                        .limit(MAX_REQUESTS)
                        .collect(Collectors.toUnmodifiableSet());
        served = Set.copyOf(served);
        proven = Set.copyOf(proven);
    }

    private static int hash(EndpointIncarnation endpoint, List<CrashCause> causes) {
        return (endpoint.toString() + causes).hashCode();
    }

    /**
     * Creates the report of a daemon that lost a request at the crash.
     *
     * @param causes the possible causes in the request, the least specific first
     */
    public static EndpointCrash of(EndpointIncarnation endpoint, List<CrashCause> causes, long nowMillis) {
        return new EndpointCrash(endpoint, nowMillis, Set.of(causes), Set.of(), Set.of(), CrashStanding.REPORTED);
    }

    /**
     * Adds what another report of the same crash says.
     */
    public EndpointCrash merge(EndpointCrash other) {
        if (covers(other)) {
            return this;
        }
        EndpointCrash merged = new EndpointCrash(
                endpoint,
                Math.min(atMillis, other.atMillis),
                union(requests, other.requests),
                union(served, other.served),
                union(proven, other.proven),
                standing.compareTo(other.standing) >= 0 ? standing : other.standing);
        return merged.equals(this) ? this : merged;
    }

    private boolean covers(EndpointCrash other) {
        return atMillis <= other.atMillis
                && requests.containsAll(other.requests)
                && served.containsAll(other.served)
                && proven.containsAll(other.proven)
                && standing.compareTo(other.standing) >= 0;
    }

    /**
     * Adds a cause with which a request has completed since the crash.
     */
    public EndpointCrash withServed(CrashCause cause) {
        return served.contains(cause)
                ? this
                : new EndpointCrash(endpoint, atMillis, requests, union(served, Set.of(cause)), proven, standing);
    }

    /**
     * Adds a cause with which a request had completed shortly before the crash.
     */
    public EndpointCrash withProven(CrashCause cause) {
        return proven.contains(cause)
                ? this
                : new EndpointCrash(endpoint, atMillis, requests, served, union(proven, Set.of(cause)), standing);
    }

    /**
     * Adds what is known of the endpoint's end.
     */
    public EndpointCrash withStanding(CrashStanding known) {
        return merge(new EndpointCrash(endpoint, atMillis, requests, served, proven, known));
    }

    /**
     * Returns whether only connections were lost.
     */
    boolean isRefuted() {
        return standing == CrashStanding.REFUTED;
    }

    /**
     * Returns all causes of the requests.
     */
    public Set<CrashCause> causes() {
        Set<CrashCause> causes = new HashSet<>();
        requests.forEach(causes::addAll);
        return causes;
    }

    /**
     * Returns what may have caused the crash.
     */
    public Set<CrashCause> suspects() {
        Set<CrashCause> suspects = isRefuted() ? new HashSet<>() : causes();
        suspects.removeAll(served);
        return suspects;
    }

    /**
     * Returns whether something may have caused the crash.
     */
    boolean hasSuspects() {
        return !isRefuted() && requests.stream().anyMatch(causes -> !served.containsAll(causes));
    }

    /**
     * Returns whether a cause may have caused the crash.
     */
    boolean isSuspect(CrashCause cause) {
        return !isRefuted() && !served.contains(cause) && requests.stream().anyMatch(causes -> causes.contains(cause));
    }

    /**
     * Returns whether some request has one cause after another.
     */
    boolean precedes(CrashCause cause, CrashCause later) {
        return requests.stream().anyMatch(causes -> {
            int index = causes.indexOf(cause);
            return index >= 0 && causes.indexOf(later) > index;
        });
    }

    private static <T> Set<T> union(Set<T> one, Set<T> other) {
        return Stream.concat(one.stream(), other.stream()).collect(Collectors.toUnmodifiableSet());
    }
}
