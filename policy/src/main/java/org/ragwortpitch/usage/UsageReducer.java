package org.ragwortpitch.usage;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.UsageRecorded;
import org.ragwortpitch.controllog.WindowClosed;
import org.ragwortpitch.controllog.WindowReported;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * Reduces usage records from the log to billing windows. The figures of a closed window follow from the log alone: they
 * are all usage of that and earlier windows that was recorded before the closing record and that no earlier closing
 * included. So every successor in the usage duty computes the same figures, and no member has to declare that it is
 * done with a window. Confined to one thread.
 */
public final class UsageReducer {

    /**
     * The least window time for which a counted request is retained, in milliseconds. A repetition after this time and
     * after {@link #DEDUPLICATION_RECORDS} is counted as a new request.
     */
    public static final long DEDUPLICATION_MILLIS = 900_000;

    /**
     * The least number of log records for which a counted request is retained. It allows duplicates to be detected when
     * several daemons buffered usage during an outage of the log and write it all at once.
     */
    public static final long DEDUPLICATION_RECORDS = 10_000;

    /**
     * How many reported windows are retained for display.
     */
    public static final int RETAINED_REPORTED_WINDOWS = 48;

    private final Map<UsageKey, UsageLine> open = new TreeMap<>();

    private final Map<Long, FrozenWindow> frozen = new TreeMap<>();

    /**
     * Counted requests, in the order in which they were counted.
     */
    private final Map<CountedKey, Counted> counted = new LinkedHashMap<>();

    /**
     * The latest window of any counted entry.
     */
    private long latestWindow = Long.MIN_VALUE;

    private long closedWindow = Long.MIN_VALUE;

    /**
     * Applies usage, skipping requests that were already counted.
     *
     * @param record the record
     * @param usage  the record's content
     * @return accepted if at least one entry was new, otherwise duplicate
     */
    public ApplyResult applyUsage(LogRecord record, UsageRecorded usage) {
        ApplyResult result = ApplyResult.DUPLICATE;
        for (UsageEntry entry : usage.entries()) {
            CountedKey key = new CountedKey(entry.account(), entry.request());
            Counted occurrence = new Counted(Math.max(latestWindow, entry.window()), record.offset());
            if (counted.putIfAbsent(key, occurrence) == null) {
                UsageLine line = UsageLine.of(entry);
                open.merge(line.key(), line, UsageLine::plus);
                latestWindow = Math.max(latestWindow, entry.window());
                result = ApplyResult.ACCEPTED;
            }
        }
        evictCounted(record.offset());
        return result;
    }

    /**
     * Applies the closing of a window by the holder of the usage duty. The window takes all open usage up to and
     * including its own.
     *
     * @param record the record, whose writer is a member and holds the usage duty
     * @param close  the record's content
     * @return accepted if the window is later than the latest closed one
     */
    public ApplyResult applyWindowClose(LogRecord record, WindowClosed close) {
        if (close.window() <= closedWindow) {
            return ApplyResult.STALE;
        }
        List<UsageLine> lines = new ArrayList<>();
        Iterator<UsageLine> openLines = open.values().iterator();
        while (openLines.hasNext()) {
            UsageLine line = openLines.next();
            if (line.key().window() <= close.window()) {
                lines.add(line);
                openLines.remove();
            }
        }
        closedWindow = close.window();
        frozen.put(close.window(), new FrozenWindow(close.window(), record.offset(), lines, false));
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies the platform's acknowledgement of a report.
     *
     * @param report the record's content
     * @return accepted if the window is closed and was not yet acknowledged
     */
    public ApplyResult applyWindowReport(WindowReported report) {
        FrozenWindow window = frozen.get(report.window());
        if (window == null || window.reported()) {
            return ApplyResult.STALE;
        }
        frozen.put(report.window(), window.withReported());
        evictReported();
        return ApplyResult.ACCEPTED;
    }

    /**
     * Returns the earliest closed window that was not yet reported.
     */
    public Optional<FrozenWindow> nextToReport() {
        return frozen.values().stream().filter(window -> !window.reported()).findFirst();
    }

    /**
     * Returns the earliest window of usage that is in no closed window. Late usage keeps its own window, so the result
     * may lie before the latest closed window.
     *
     * @return the window's start in milliseconds since the epoch, or empty if there is no open usage
     */
    public Optional<Long> earliestOpenWindow() {
        return open.keySet().stream().findFirst().map(UsageKey::window);
    }

    /**
     * Returns the latest closed window.
     *
     * @return the window's start in milliseconds since the epoch, or {@link Long#MIN_VALUE} if none was closed
     */
    public long closedWindow() {
        return closedWindow;
    }

    /**
     * Returns a copy of the whole state, for checkpoints and for display.
     */
    public UsageState state() {
        List<CountedRequest> requests = new ArrayList<>();
        counted.forEach((key, occurrence) -> requests.add(
                new CountedRequest(key.account(), key.request(), occurrence.window(), occurrence.offset())));
        return new UsageState(
                latestWindow, closedWindow, List.copyOf(open.values()), List.copyOf(frozen.values()), requests);
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param state the checkpoint's usage state
     */
    public void restore(UsageState state) {
        open.clear();
        frozen.clear();
        counted.clear();
        latestWindow = state.latestWindow();
        closedWindow = state.closedWindow();
        state.openLines().forEach(line -> open.put(line.key(), line));
        state.frozen().forEach(window -> frozen.put(window.window(), window));
        state.counted()
                .forEach(request -> counted.put(
                        new CountedKey(request.account(), request.request()),
                        new Counted(request.window(), request.offset())));
    }

    /**
     * Drops the requests that exceed the retention by both window time and records.
     *
     * @param offset the log offset of the record being applied
     */
    private void evictCounted(long offset) {
        Iterator<Counted> oldest = counted.values().iterator();
        while (oldest.hasNext()) {
            Counted occurrence = oldest.next();
            boolean expired = occurrence.window() < latestWindow - DEDUPLICATION_MILLIS;
            if (!expired || occurrence.offset() > offset - DEDUPLICATION_RECORDS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Drops the oldest reported windows in excess of {@link #RETAINED_REPORTED_WINDOWS}.
     */
    private void evictReported() {
        long reportedWindows =
                frozen.values().stream().filter(FrozenWindow::reported).count();
        Iterator<FrozenWindow> oldest = frozen.values().iterator();
        while (reportedWindows > RETAINED_REPORTED_WINDOWS && oldest.hasNext()) {
            if (oldest.next().reported()) {
                oldest.remove();
                reportedWindows--;
            }
        }
    }

    /**
     * Identifies a counted request by its account and id.
     */
    private record CountedKey(AccountId account, RequestId request) {}

    /**
     * When a request was counted.
     *
     * @param window the latest window of any entry at that time
     * @param offset the log offset of the record that counted it
     */
    private record Counted(long window, long offset) {}
}
