package org.ragwortpitch.ledger;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * Reduces the records of the usage ledger to its state, which is the same on every daemon: the sums that daemons
 * counted per window, and the figures frozen by the first duty holder that closed a window, which any later holder
 * reports unchanged. Confined to one thread.
 */
public final class UsageLedger {

    /** The number of windows retained; the store expires the records of older ones as well. */
    private static final int RETAINED_WINDOWS = 64;

    private final TreeMap<Long, Map<AccountId, Long>> sums = new TreeMap<>();
    private final TreeMap<Long, Map<AccountId, Long>> frozen = new TreeMap<>();
    private final TreeMap<Long, Set<String>> appliedParts = new TreeMap<>();
    private final TreeMap<Long, Set<DaemonIncarnation>> countedIncarnations = new TreeMap<>();

    /**
     * Applies the next record. Repeated increments, and increments and frozen figures of a window that is already
     * frozen, have no effect.
     */
    public void apply(LedgerEntry entry) {
        if (entry.frozen()) {
            frozen.putIfAbsent(entry.window(), new TreeMap<>(entry.counts()));
        } else if (!frozen.containsKey(entry.window())
                && appliedParts
                        .computeIfAbsent(entry.window(), window -> new HashSet<>())
                        .add(entry.daemon() + "#" + entry.startMillis() + "#" + entry.part())) {
            countedIncarnations
                    .computeIfAbsent(entry.window(), window -> new HashSet<>())
                    .add(new DaemonIncarnation(entry.daemon(), entry.startMillis()));
            Map<AccountId, Long> sum = sums.computeIfAbsent(entry.window(), window -> new TreeMap<>());
            entry.counts().forEach((account, count) -> sum.merge(account, count, Long::sum));
        }
        evictBefore(entry.window() - RETAINED_WINDOWS);
    }

    /**
     * Returns the figures to report for a window, or empty if it is not frozen.
     */
    public Optional<Map<AccountId, Long>> frozen(long window) {
        return Optional.ofNullable(frozen.get(window));
    }

    /**
     * Returns the latest window that is frozen; empty if none is.
     */
    public OptionalLong lastFrozen() {
        return frozen.isEmpty() ? OptionalLong.empty() : OptionalLong.of(frozen.lastKey());
    }

    /**
     * Returns the sums counted so far in a window, or an empty map if there are none.
     */
    public Map<AccountId, Long> counted(long window) {
        return sums.getOrDefault(window, Map.of());
    }

    /**
     * Returns the daemon incarnations whose counts of a window were applied.
     */
    public Set<DaemonIncarnation> countedIncarnations(long window) {
        return countedIncarnations.getOrDefault(window, Set.of());
    }

    private void evictBefore(long window) {
        sums.headMap(window).clear();
        frozen.headMap(window).clear();
        appliedParts.headMap(window).clear();
        countedIncarnations.headMap(window).clear();
    }
}
