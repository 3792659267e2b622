package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DutyCodec;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.adapter.TopicPage;
import org.ragwortpitch.adapter.UsageCodec;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.ledger.LedgerEntry;
import org.ragwortpitch.ledger.UsageLedger;
import org.ragwortpitch.logging.Event;

/**
 * Duty that reports usage for billing: reads the usage ledger, freezes each window's totals in it, and reports the
 * totals that were frozen first, so that any two reports of a window are equal. Confined to the control thread.
 */
final class UsageReporter {

    private static final Logger LOGGER = System.getLogger(UsageReporter.class.getName());

    /** Time after a window's end within which daemons write their counts, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_500;

    /** Time before a report's deadline until which missing counts are awaited, in milliseconds. */
    private static final long REPORT_MARGIN_MILLIS = 2_000;

    /** Windows after its own for which a report is attempted; later ones are of no use. */
    private static final int MAX_REPORT_AGE_WINDOWS = 6;

    private static final int GONE = 410;

    private static final int CONFLICT = 409;

    private final StoreClient store;
    private final PlatformClient platform;
    private final InstanceId self;
    private final long windowMillis;
    private final long lateMillis;
    private final UsageLedger ledger = new UsageLedger();
    private final TreeSet<Long> reported = new TreeSet<>();
    private Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> peerCounts = Map.of();
    private Set<DaemonIncarnation> expectedWriters = Set.of();
    private long nowMillis;
    private long offset;
    private boolean busy;

    UsageReporter(StoreClient store, PlatformClient platform, InstanceId self, long windowMillis, long lateMillis) {
        this.store = store;
        this.platform = platform;
        this.self = self;
        this.windowMillis = windowMillis;
        this.lateMillis = lateMillis;
    }

    /**
     * Starts the next step of the oldest unreported window, unless one is in progress or none is due.
     *
     * @param wallMillis the wall clock corrected to the median of the daemons' clocks
     * @param daemons    the incarnations whose counts are awaited
     * @param refused    called when a report was refused because another holder has acted since
     */
    void step(long fencingToken, long wallMillis, Set<DaemonIncarnation> daemons, Runnable refused) {
        expectedWriters = daemons;
        nowMillis = wallMillis;
        long last = Math.floorDiv(wallMillis - SETTLE_MILLIS, windowMillis) - 1;
        reported.headSet(last - 2 * MAX_REPORT_AGE_WINDOWS).clear();
        if (busy || nextDue(last).isEmpty()) {
            return;
        }
        busy = true;
        readLedger(() -> nextDue(last).ifPresent(window -> advance(window, fencingToken, refused)));
    }

    private Optional<Long> nextDue(long last) {
        for (long window = last - MAX_REPORT_AGE_WINDOWS; window <= last; window++) {
            if (!reported.contains(window)) {
                return Optional.of(window);
            }
        }
        return Optional.empty();
    }

    private void advance(long window, long fencingToken, Runnable refused) {
        Optional<Map<AccountId, Long>> frozen = ledger.frozen(window);
        if (frozen.isPresent()) {
            report(window, frozen.get(), fencingToken, refused);
        } else if (ledger.countedIncarnations(window).containsAll(expectedWriters) || isReportUrgent(window)) {
            Map<AccountId, Long> totals = totals(window);
            if (totals.isEmpty()) {
                reported.add(window);
            } else {
                freeze(window, totals);
            }
        }
    }

    private boolean isReportUrgent(long window) {
        long endMillis = (window + 1) * windowMillis;
        return nowMillis > endMillis + lateMillis - REPORT_MARGIN_MILLIS;
    }

    /**
     * Returns the ledger's counts plus the gossiped counts of incarnations that couldn't write theirs.
     */
    private Map<AccountId, Long> totals(long window) {
        Map<AccountId, Long> totals = new TreeMap<>(ledger.counted(window));
        peerCounts.getOrDefault(window, Map.of()).forEach((incarnation, counts) -> {
            if (!ledger.countedIncarnations(window).contains(incarnation)) {
                Event.of("usage-from-peers")
                        .with("window", window)
                        .with("daemon", incarnation.daemon())
                        .with("born", incarnation.startMillis())
                        .with("counts", counts)
                        .info(LOGGER);
                counts.forEach((account, count) -> totals.merge(account, count, Long::sum));
            }
        });
        return totals;
    }

    /**
     * Replaces the counts received by gossip, by window and daemon incarnation.
     */
    void updatePeerCounts(Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> counts) {
        peerCounts = counts;
    }

    private void freeze(long window, Map<AccountId, Long> totals) {
        LedgerEntry entry = new LedgerEntry(window, self, 0, 0, true, totals);
        busy = true;
        store.call(
                StoreCodec.append(UsageCodec.TOPIC, List.of(UsageCodec.encode(entry))),
                0,
                response -> busy = false,
                reason -> busy = false);
    }

    private void report(long window, Map<AccountId, Long> counts, long fencingToken, Runnable refused) {
        busy = true;
        platform.call(
                DutyCodec.usage(self, fencingToken, window, counts),
                "usage of window " + window + " " + counts,
                response -> {
                    busy = false;
                    if (response.isOk()) {
                        reported.add(window);
                    } else if (response.status() == CONFLICT) {
                        refused.run();
                    }
                },
                () -> busy = false);
    }

    private void readLedger(Runnable done) {
        store.call(
                StoreCodec.read(UsageCodec.TOPIC, offset, 0),
                0,
                response -> {
                    busy = false;
                    if (applyPage(response)) {
                        done.run();
                    }
                },
                reason -> busy = false);
    }

    /**
     * Applies a page of the ledger.
     *
     * @return whether the ledger was read to its end
     */
    private boolean applyPage(CallResponse response) {
        if (response.status() == GONE) {
            offset = StoreCodec.firstRetainedOffset(response.body()).orElse(offset);
            return false;
        }
        if (!response.isOk()) {
            Event.of("journal-unreadable").with("status", response.status()).warn(LOGGER);
            return false;
        }
        try {
            TopicPage page = StoreCodec.logPage(response.body(), offset);
            for (byte[] record : page.records()) {
                applyRecord(record);
            }
            offset = page.nextOffset();
            return offset >= page.endOffset();
        } catch (CodecException exception) {
            Event.of("journal-unreadable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
            return false;
        }
    }

    private void applyRecord(byte[] record) {
        try {
            ledger.apply(UsageCodec.decode(record));
        } catch (CodecException exception) {
            Event.of("usage-entry-unreadable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
