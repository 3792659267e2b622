package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DutyCodec;
import org.ragwortpitch.adapter.DutyRecordCodec;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.adapter.TopicPage;
import org.ragwortpitch.adapter.UsageCodec;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.ledger.DueWindows;
import org.ragwortpitch.ledger.LedgerEntry;
import org.ragwortpitch.ledger.ReportMark;
import org.ragwortpitch.ledger.ReportMark.LedgerRange;
import org.ragwortpitch.ledger.UsageLedger;
import org.ragwortpitch.logging.Event;

/**
 * Duty that reports usage for billing: reads the usage ledger, freezes the totals of all windows that are due in one
 * append, and reports the totals that were frozen first, oldest first and without pauses, so that any two reports of a
 * window are equal. Where frozen totals may be gone, as the
 * ledger has expired or the store has come back from an older copy, the windows are left out. Confined to the control
 * thread.
 */
final class UsageReporter {

    private static final Logger LOGGER = System.getLogger(UsageReporter.class.getName());

    /** Time after a window's end within which daemons write their counts, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_500;

    /** Time before a report's deadline until which missing counts are awaited, in milliseconds. */
    private static final long REPORT_MARGIN_MILLIS = 2_000;

    /**
     * Time after the store's return within which daemons write the counts that they could not write before, in
     * milliseconds: they try at most four calls, 250 ms apart.
     */
    private static final long REWRITE_MILLIS = 1_000;

    /** Windows after its own for which a report is attempted; later ones are of no use. */
    private static final int MAX_REPORT_AGE_WINDOWS = 6;

    private static final int GONE = 410;

    private static final int CONFLICT = 409;

    private final StoreClient store;
    private final PlatformClient platform;
    private final InstanceId self;
    private final long windowMillis;
    private final LongSupplier lateMillis;
    private UsageLedger ledger = new UsageLedger();
    private final TreeSet<Long> reported = new TreeSet<>();
    private Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> peerCounts = Map.of();
    private Set<DaemonIncarnation> expectedWriters = Set.of();
    private OptionalLong firstWindow;
    private Optional<ReportMark> mark = Optional.empty();
    private long markedToken;
    private long nowMillis;
    private long firstOffset;
    private long offset;
    private long resets;
    private boolean busy;

    /**
     * Creates a reporter.
     *
     * @param firstWindow the present window, if the whole fleet starts for the first time
     */
    UsageReporter(
            StoreClient store,
            PlatformClient platform,
            InstanceId self,
            long windowMillis,
            LongSupplier lateMillis,
            OptionalLong firstWindow) {
        this.store = store;
        this.platform = platform;
        this.self = self;
        this.windowMillis = windowMillis;
        this.lateMillis = lateMillis;
        this.firstWindow = firstWindow;
        store.onRestored(this::reset);
    }

    /** Forgets what was read, as the store has come back from an older copy. */
    private void reset() {
        ledger = new UsageLedger();
        firstWindow = OptionalLong.empty();
        mark = Optional.empty();
        firstOffset = 0;
        offset = 0;
        busy = false;
        // Answers to earlier calls are ignored.
        resets++;
    }

    /**
     * Starts to report all windows that are due, unless this is in progress.
     *
     * @param wallMillis the wall clock corrected to the median of the daemons' clocks
     * @param daemons    the incarnations whose counts are awaited
     */
    void step(DutyTenure tenure, long wallMillis, Set<DaemonIncarnation> daemons) {
        expectedWriters = daemons;
        nowMillis = wallMillis;
        reported.headSet(lastSettled() - 2 * MAX_REPORT_AGE_WINDOWS).clear();
        if (markedToken != tenure.fencingToken()) {
            markedToken = tenure.fencingToken();
            mark = Optional.empty();
        }
        if (busy || mark.isPresent() && due().isEmpty()) {
            return;
        }
        if (mark.isEmpty()) {
            loadMark(() -> freezeAndReport(tenure));
        } else {
            readLedger(() -> freezeAndReport(tenure));
        }
    }

    private long lastSettled() {
        return Math.floorDiv(nowMillis - SETTLE_MILLIS, windowMillis) - 1;
    }

    private List<Long> due() {
        long last = lastSettled();
        long first = mark.map(ReportMark::nextWindow).orElse(Long.MAX_VALUE);
        return LongStream.rangeClosed(Math.max(first, last - MAX_REPORT_AGE_WINDOWS), last)
                .boxed()
                .filter(window -> !reported.contains(window))
                .toList();
    }

    private void loadMark(Runnable done) {
        callStore(StoreCodec.readCompacted(DutyRecordCodec.TOPIC, ""), response -> {
            try {
                Optional<ReportMark> stored = storedMark(response);
                readLedger(() -> resume(stored, done));
            } catch (CodecException exception) {
                logUnreadableMark(exception);
            }
        });
    }

    private static Optional<ReportMark> storedMark(CallResponse response) throws CodecException {
        if (!response.isOk()) {
            throw new CodecException("load returned status " + response.status());
        }
        for (KeyedRecord entry : StoreCodec.compactedPage(response.body()).records()) {
            if (DutyRecordCodec.REPORT_MARK_KEY.equals(entry.key())) {
                return Optional.of(decode(entry));
            }
        }
        return Optional.empty();
    }

    /** Decodes a mark; one that can't be read tells no more than that there was one. */
    private static ReportMark decode(KeyedRecord entry) {
        try {
            return DutyRecordCodec.decodeMark(entry.value());
        } catch (CodecException exception) {
            logUnreadableMark(exception);
            return ReportMark.UNKNOWN;
        }
    }

    private static void logUnreadableMark(CodecException exception) {
        Event.of("report-mark-unreadable")
                .with("reason", exception.getMessage())
                .warn(LOGGER);
    }

    private void resume(Optional<ReportMark> stored, Runnable done) {
        ReportMark resumed = ReportMark.resume(
                stored,
                store.era().orElse(0),
                new LedgerRange(firstOffset, offset),
                Math.floorDiv(nowMillis, windowMillis),
                firstWindow);
        Event.of("usage-resumed")
                .with("next", resumed.nextWindow())
                .with(
                        "stored",
                        stored.map(ReportMark::nextWindow).map(String::valueOf).orElse("-"))
                .with("first-offset", firstOffset)
                .info(LOGGER);
        if (stored.equals(Optional.of(resumed))) {
            mark = stored;
            done.run();
        } else {
            write(resumed, done);
        }
    }

    private void write(ReportMark next, Runnable done) {
        byte[] record = StoreCodec.encodeKeyed(DutyRecordCodec.REPORT_MARK_KEY, DutyRecordCodec.encode(next));
        callStore(StoreCodec.append(DutyRecordCodec.TOPIC, List.of(record)), response -> {
            if (response.isOk()) {
                mark = Optional.of(next);
                done.run();
            }
        });
    }

    /** Calls the store, and ignores the answer if the reporter was reset meanwhile. */
    private void callStore(HttpCall call, Consumer<CallResponse> onResponse) {
        busy = true;
        long sentResets = resets;
        store.call(
                call,
                0,
                response -> {
                    if (sentResets == resets) {
                        busy = false;
                        onResponse.accept(response);
                    }
                },
                reason -> {
                    if (sentResets == resets) {
                        busy = false;
                    }
                });
    }

    private void freezeAndReport(DutyTenure tenure) {
        DueWindows due = dueWindows();
        if (!tenure.mayAct()) {
            return;
        }
        if (due.toFreeze().isEmpty()) {
            report(due.frozen(), tenure);
        } else if (due.allowAdvance(mark.orElseThrow(), ledger)) {
            write(mark.orElseThrow().advanceTo(due.toFreeze().firstKey(), offset), () -> freeze(due, tenure));
        } else {
            freeze(due, tenure);
        }
    }

    private DueWindows dueWindows() {
        DueWindows due = DueWindows.of(ledger, due(), this::isComplete, this::totals);
        reported.addAll(due.empty());
        return due;
    }

    private boolean isComplete(long window) {
        return ledger.countedIncarnations(window).containsAll(expectedWriters)
                || isReportUrgent(window) && store.reachableForMillis() >= REWRITE_MILLIS;
    }

    private boolean isReportUrgent(long window) {
        long endMillis = (window + 1) * windowMillis;
        return nowMillis > endMillis + lateMillis.getAsLong() - REPORT_MARGIN_MILLIS;
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

    /** Freezes windows, and reports what the ledger then holds, as another daemon may have frozen them first. */
    private void freeze(DueWindows due, DutyTenure tenure) {
        List<byte[]> entries = due.toFreeze().entrySet().stream()
                .map(window -> new LedgerEntry(window.getKey(), self, 0, 0, true, window.getValue()))
                .map(UsageCodec::encode)
                .toList();
        callStore(
                StoreCodec.append(UsageCodec.TOPIC, entries),
                response -> readLedger(() -> report(dueWindows().frozen(), tenure)));
    }

    /** Reports frozen windows one after the other, oldest first, up to the first one that is not accepted. */
    private void report(SortedMap<Long, Map<AccountId, Long>> frozen, DutyTenure tenure) {
        if (frozen.isEmpty() || !tenure.mayAct()) {
            return;
        }
        long window = frozen.firstKey();
        busy = true;
        long sentResets = resets;
        platform.call(
                DutyCodec.usage(self, tenure.fencingToken(), window, frozen.get(window)),
                "usage of window " + window + " " + frozen.get(window),
                response -> {
                    endReport(sentResets);
                    if (response.isOk()) {
                        reported.add(window);
                        if (sentResets == resets) {
                            report(frozen.tailMap(window + 1), tenure);
                        }
                    } else if (response.status() == CONFLICT) {
                        tenure.refused();
                    }
                },
                () -> endReport(sentResets));
    }

    private void endReport(long sentResets) {
        if (sentResets == resets) {
            busy = false;
        }
    }

    /** Reads the ledger to its end, page by page. */
    private void readLedger(Runnable done) {
        long from = offset;
        callStore(StoreCodec.read(UsageCodec.TOPIC, from, 0), response -> {
            if (applyPage(response)) {
                done.run();
            } else if (offset > from && response.isOk()) {
                readLedger(done);
            }
        });
    }

    /**
     * Applies a page of the ledger.
     *
     * @return whether the ledger was read to its end
     */
    private boolean applyPage(CallResponse response) {
        if (response.status() == GONE) {
            offset = StoreCodec.firstRetainedOffset(response.body()).orElse(offset);
            firstOffset = offset;
            mark = Optional.empty();
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
