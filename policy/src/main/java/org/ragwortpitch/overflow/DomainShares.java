package org.ragwortpitch.overflow;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortpitch.identity.FailureDomain;

/**
 * The shares of a failure domain's demand on a pool that leave for each other domain.
 *
 * @param full    whether the domain's demand exceeds what its engines serve well
 * @param targets the share of the demand that each other domain gets, between 0 and 1
 * @param avoided other domains whose demand exceeds what their engines serve well
 */
public record DomainShares(boolean full, Map<FailureDomain, Double> targets, Set<FailureDomain> avoided) {

    /** Nothing is known of other domains, or there is room in all. */
    public static final DomainShares NONE = new DomainShares(false, Map.of(), Set.of());

    /** 2 to the power of -53: maps the upper 53 bits of a hash to a number in [0, 1). */
    private static final double UNIT = 0x1.0p-53;

    private static final int UNUSED_BITS = 11;

    /**
     * Copies the collections.
     */
    public DomainShares {
        targets = Map.copyOf(targets);
        avoided = Set.copyOf(avoided);
    }

    /**
     * Returns the share of the demand that leaves for any domain, between 0 and 1.
     */
    public double total() {
        return targets.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * Decides for one request. All daemons with the same shares decide alike.
     *
     * @param key identifies the request, or the session whose requests stay together
     */
    public RequestDomains decide(long key) {
        return new RequestDomains(full, full ? target(key) : Optional.empty(), avoided);
    }

    private Optional<FailureDomain> target(long key) {
        byte[] input = ByteBuffer.allocate(Long.BYTES).putLong(key).array();
        double remaining = (MurmurHash3.hash128x64(input)[0] >>> UNUSED_BITS) * UNIT;
        for (Map.Entry<FailureDomain, Double> target : new TreeMap<>(targets).entrySet()) {
            remaining -= target.getValue();
            if (remaining < 0) {
                return Optional.of(target.getKey());
            }
        }
        return Optional.empty();
    }
}
