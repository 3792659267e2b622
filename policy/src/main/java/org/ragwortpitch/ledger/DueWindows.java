package org.ragwortpitch.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import org.ragwortpitch.identity.AccountId;

/**
 * What to do about usage windows that are due for a report, up to the first one whose counts are still awaited.
 *
 * @param empty    windows without usage, of which there is no report
 * @param toFreeze the totals to freeze, by window
 * @param frozen   the figures that were frozen first and are to be reported, by window
 */
public record DueWindows(
        List<Long> empty,
        SortedMap<Long, Map<AccountId, Long>> toFreeze,
        SortedMap<Long, Map<AccountId, Long>> frozen) {

    /**
     * Sorts due windows by what to do.
     *
     * @param due      the windows, oldest first
     * @param complete whether no more counts of a window are awaited
     * @param totals   the counts of a window known so far
     */
    public static DueWindows of(
            UsageLedger ledger,
            Collection<Long> due,
            LongPredicate complete,
            LongFunction<Map<AccountId, Long>> totals) {
        DueWindows sorted = new DueWindows(new ArrayList<>(), new TreeMap<>(), new TreeMap<>());
        for (long window : due) {
            Optional<Map<AccountId, Long>> figures = ledger.frozen(window);
            if (figures.isEmpty() && !complete.test(window)) {
                return sorted;
            }
            figures.ifPresentOrElse(
                    known -> sorted.frozen.put(window, known), () -> sorted.addTotals(window, totals.apply(window)));
        }
        return sorted;
    }

    private void addTotals(long window, Map<AccountId, Long> totals) {
        if (totals.isEmpty()) {
            empty.add(window);
        } else {
            toFreeze.put(window, totals);
        }
    }

    /**
     * Returns whether the mark may advance to the oldest window to be frozen. No frozen window may be left behind it
     * unreported, and all figures that are frozen of that window or a later one have to follow it in the ledger.
     */
    public boolean allowAdvance(ReportMark mark, UsageLedger ledger) {
        return frozen.isEmpty()
                && mark.nextWindow() < toFreeze.firstKey()
                && ledger.lastFrozen().orElse(Long.MIN_VALUE) < toFreeze.firstKey();
    }
}
