package org.ragwortpitch.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * Chooses the daemons that stay close to the platform's store on behalf of the fleet: they renew their membership of
 * the group that holds the duties, and detect a silent connection to the store soon. The others follow the store as
 * well, with fewer calls, and hear from these what they may have missed. Each daemon decides for itself, from gossip:
 * those that hear different peers may choose differently, which costs calls but breaks nothing.
 */
public final class StoreReaders {

    /** Readers at a time, of different failure domains where there are as many; one or two may be cut off or frozen. */
    public static final int COUNT = 3;

    private StoreReaders() {}

    /**
     * A daemon that could be a reader.
     *
     * @param id     its instance
     * @param domain its failure domain
     */
    public record Candidate(InstanceId id, FailureDomain domain) {}

    /**
     * Returns whether a daemon is a reader. One that hears no others, or only such as don't reach the store, is.
     *
     * @param others the other daemons that are heard, take callers and say that they reach the store
     */
    public static boolean includes(Candidate self, Collection<Candidate> others) {
        List<Candidate> byName = Stream.concat(Stream.of(self), others.stream())
                .sorted(Comparator.comparing(Candidate::id))
                .toList();
        Map<FailureDomain, Integer> ranks = new HashMap<>();
        Map<Candidate, Integer> rankInDomain = new HashMap<>();
        byName.forEach(candidate -> rankInDomain.put(candidate, ranks.merge(candidate.domain(), 1, Integer::sum)));
        return byName.stream()
                .sorted(Comparator.<Candidate, Integer>comparing(rankInDomain::get)
                        .thenComparing(candidate -> candidate.domain().value())
                        .thenComparing(Candidate::id))
                .limit(COUNT)
                .anyMatch(self::equals);
    }
}
