package org.ragwortpitch.ledger;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * The state that the usage journal amounts to, the same for every reader: sums of what daemons counted, and the figures
 * frozen by the first holder that closed a window, which any later holder repeats. Confined to one thread.
 */
public final class UsageJournal {

    /** Windows older than this many are forgotten; the store forgets its records too. */
    private static final int KEPT_WINDOWS = 64;

    private final TreeMap<Long, Map<AccountId, Long>> sums = new TreeMap<>();
    private final TreeMap<Long, Map<AccountId, Long>> frozen = new TreeMap<>();
    private final TreeMap<Long, Set<String>> seen = new TreeMap<>();
    private final TreeMap<Long, Set<Life>> writers = new TreeMap<>();

    /**
     * Applies the next record.
     */
    public void apply(LedgerEntry entry) {
        if (entry.frozen()) {
            frozen.putIfAbsent(entry.window(), new TreeMap<>(entry.counts()));
        } else if (!frozen.containsKey(entry.window())
                && seen.computeIfAbsent(entry.window(), window -> new HashSet<>())
                        .add(entry.daemon() + "#" + entry.bornMillis() + "#" + entry.part())) {
            writers.computeIfAbsent(entry.window(), window -> new HashSet<>())
                    .add(new Life(entry.daemon(), entry.bornMillis()));
            Map<AccountId, Long> sum = sums.computeIfAbsent(entry.window(), window -> new TreeMap<>());
            entry.counts().forEach((account, count) -> sum.merge(account, count, Long::sum));
        }
        forget(entry.window() - KEPT_WINDOWS);
    }

    /**
     * Tells the figures to report of a window; empty until somebody froze it.
     */
    public Optional<Map<AccountId, Long>> frozen(long window) {
        return Optional.ofNullable(frozen.get(window));
    }

    /**
     * Tells what daemons counted in a window so far.
     */
    public Map<AccountId, Long> counted(long window) {
        return sums.getOrDefault(window, Map.of());
    }

    /**
     * Tells the lives of daemons whose counts of a window are known.
     */
    public Set<Life> writers(long window) {
        return writers.getOrDefault(window, Set.of());
    }

    private void forget(long before) {
        sums.headMap(before).clear();
        frozen.headMap(before).clear();
        seen.headMap(before).clear();
        writers.headMap(before).clear();
    }
}
