package org.ragwortpitch.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Infers from crashes of endpoints which prefix blocks and requests cause them. Prompts with a poison block share other
 * blocks with sound prompts, and a crash ends sound requests too. Of all causes that are suspected of enough crashes,
 * the one suspected of most is blamed, and the others are judged by the remaining crashes.
 */
final class PoisonCauses {

    /** Crashes from which on a cause is blamed: fewer may be a coincidence, and each costs an endpoint. */
    static final int MIN_CRASHES = 3;

    /**
     * Crashes of endpoints that end together within this time, in milliseconds, as in the loss of a failure domain,
     * count as one against a cause that was served shortly before.
     */
    private static final long COINCIDENCE_MILLIS = 1_000;

    private PoisonCauses() {}

    /**
     * Returns the causes to blame, which depend on the crashes alone, not on their order.
     */
    static Set<CrashCause> of(Collection<EndpointCrash> crashes) {
        Set<CrashCause> poison = new HashSet<>();
        List<EndpointCrash> unexplained = new ArrayList<>(crashes);
        Optional<CrashCause> next = mostLikely(unexplained);
        while (next.isPresent()) {
            CrashCause cause = next.get();
            poison.add(cause);
            unexplained.removeIf(crash -> crash.isSuspect(cause));
            next = mostLikely(unexplained);
        }
        return poison;
    }

    private static Optional<CrashCause> mostLikely(List<EndpointCrash> crashes) {
        Map<CrashCause, List<EndpointCrash>> bySuspect = new HashMap<>();
        crashes.forEach(crash -> crash.suspects().forEach(cause -> bySuspect
                .computeIfAbsent(cause, id -> new ArrayList<>())
                .add(crash)));
        bySuspect.entrySet().removeIf(entry -> !isEnough(entry.getKey(), entry.getValue()));
        Optional<CrashCause> best = bySuspect.keySet().stream()
                .max(Comparator.<CrashCause, Boolean>comparing(cause -> !isProven(cause, bySuspect.get(cause)))
                        .thenComparing(cause -> bySuspect.get(cause).size())
                        .thenComparing(Comparator.reverseOrder()));
        return best.map(cause -> mostSpecific(cause, bySuspect));
    }

    /**
     * Returns a later cause of the same requests, if one is suspected too: refusing it affects fewer requests.
     */
    private static CrashCause mostSpecific(CrashCause cause, Map<CrashCause, List<EndpointCrash>> bySuspect) {
        CrashCause specific = cause;
        // Requests may have the same blocks in another order, so that each of two blocks follows the other.
        Set<CrashCause> passed = new HashSet<>();
        boolean found = true;
        while (found) {
            CrashCause current = specific;
            passed.add(current);
            Optional<CrashCause> later = bySuspect.keySet().stream()
                    .filter(other -> !passed.contains(other) && explains(other, current, bySuspect))
                    .max(Comparator.<CrashCause>comparingInt(
                                    other -> bySuspect.get(other).size())
                            .thenComparing(Comparator.reverseOrder()));
            found = later.isPresent();
            specific = later.orElse(current);
        }
        return specific;
    }

    /**
     * Returns whether a cause follows another one in all its crashes. A single request has to explain all crashes of
     * the other cause too: one that does not is a victim of a block that crashes other requests as well.
     */
    private static boolean explains(
            CrashCause later, CrashCause cause, Map<CrashCause, List<EndpointCrash>> bySuspect) {
        List<EndpointCrash> crashes = bySuspect.get(later);
        return crashes.stream().allMatch(crash -> crash.precedes(cause, later))
                && (later.kind() != CrashCause.Kind.REQUEST
                        || crashes.size() == bySuspect.get(cause).size());
    }

    private static boolean isEnough(CrashCause cause, List<EndpointCrash> crashes) {
        return (isProven(cause, crashes) ? countMoments(crashes) : crashes.size()) >= MIN_CRASHES;
    }

    private static boolean isProven(CrashCause cause, List<EndpointCrash> crashes) {
        return crashes.stream().anyMatch(crash -> crash.proven().contains(cause));
    }

    private static int countMoments(List<EndpointCrash> crashes) {
        int moments = 0;
        long untilMillis = Long.MIN_VALUE;
        for (long atMillis :
                crashes.stream().mapToLong(EndpointCrash::atMillis).sorted().toArray()) {
            if (moments == 0 || atMillis >= untilMillis) {
                moments++;
                untilMillis = atMillis + COINCIDENCE_MILLIS;
            }
        }
        return moments;
    }
}
