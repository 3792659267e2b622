package org.ragwortpitch.usage;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.UsageRecorded;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.journal.WindowClosed;
import org.ragwortpitch.journal.WindowReported;

/**
 * Folds usage into windows. The figures of a closed window follow from the log alone: all usage read before the closing
 * record that no earlier one took. So every successor of the usage duty finds the same figures, and no member has to
 * state that it has finished a window. Confined to one thread.
 */
public final class UsageFold {

    /**
     * How long a counted request is remembered, in milliseconds. A repetition after that is counted as a new one.
     */
    public static final long COUNTED_KEPT_MILLIS = 900_000;

    /**
     * How many records of the log a counted request is remembered for at least, so that what several daemons held
     * through an outage of the log is told apart when they write it all at once.
     */
    public static final long COUNTED_KEPT_RECORDS = 10_000;

    /**
     * How many reported windows are remembered for showing.
     */
    public static final int REPORTED_KEPT_WINDOWS = 48;

    /**
     * Usage that is in no closed window yet.
     */
    private final Map<UsageKey, UsageLine> open = new TreeMap<>();

    /**
     * The closed windows that are remembered.
     */
    private final Map<Long, FrozenWindow> frozen = new TreeMap<>();

    /**
     * The counted requests that are remembered, oldest first.
     */
    private final Map<CountedKey, Counted> counted = new LinkedHashMap<>();

    /**
     * The latest window of any entry.
     */
    private long latestWindow = Long.MIN_VALUE;

    /**
     * The latest closed window.
     */
    private long closedWindow = Long.MIN_VALUE;

    /**
     * Takes usage. A request that was counted before is left out.
     *
     * @param record the record
     * @param usage  its content
     * @return accepted if at least one entry was new
     */
    public Verdict recorded(LogRecord record, UsageRecorded usage) {
        Verdict verdict = Verdict.DUPLICATE;
        for (UsageEntry entry : usage.entries()) {
            CountedKey key = new CountedKey(entry.account(), entry.request());
            Counted now = new Counted(Math.max(latestWindow, entry.window()), record.offset());
            if (counted.putIfAbsent(key, now) == null) {
                UsageLine line = UsageLine.of(entry);
                open.merge(line.key(), line, UsageLine::plus);
                latestWindow = Math.max(latestWindow, entry.window());
                verdict = Verdict.ACCEPTED;
            }
        }
        forgetCounted(record.offset());
        return verdict;
    }

    /**
     * Takes the closing of a window by the holder of the usage duty.
     *
     * @param record the record, already admitted
     * @param close  its content
     * @return accepted if the window lies behind the latest closed one
     */
    public Verdict closed(LogRecord record, WindowClosed close) {
        if (close.window() <= closedWindow) {
            return Verdict.STALE;
        }
        List<UsageLine> lines = new ArrayList<>();
        Iterator<UsageLine> earliest = open.values().iterator();
        while (earliest.hasNext()) {
            UsageLine line = earliest.next();
            if (line.key().window() <= close.window()) {
                lines.add(line);
                earliest.remove();
            }
        }
        closedWindow = close.window();
        frozen.put(close.window(), new FrozenWindow(close.window(), record.offset(), lines, false));
        return Verdict.ACCEPTED;
    }

    /**
     * Takes the platform's acknowledgement of a report.
     *
     * @param report the record's content
     * @return accepted if the window is closed and was not acknowledged before
     */
    public Verdict reported(WindowReported report) {
        FrozenWindow window = frozen.get(report.window());
        if (window == null || window.reported()) {
            return Verdict.STALE;
        }
        frozen.put(report.window(), window.withReported());
        forgetReported();
        return Verdict.ACCEPTED;
    }

    /**
     * Finds the earliest closed window that awaits its report.
     *
     * @return the window, if there is one
     */
    public Optional<FrozenWindow> nextToReport() {
        return frozen.values().stream().filter(window -> !window.reported()).findFirst();
    }

    /**
     * Tells the earliest window with usage that is in no closed window, counting late usage into the window after the
     * latest closed one.
     *
     * @return the window, if there is any such usage
     */
    public Optional<Long> earliestOpenWindow() {
        return open.keySet().stream().findFirst().map(UsageKey::window);
    }

    /**
     * Tells the latest closed window.
     *
     * @return the window, or the least number if there is none
     */
    public long closedWindow() {
        return closedWindow;
    }

    /**
     * Tells the whole state.
     *
     * @return the state
     */
    public UsageState state() {
        List<CountedRequest> requests = new ArrayList<>();
        counted.forEach((key, when) ->
                requests.add(new CountedRequest(key.account(), key.request(), when.window(), when.offset())));
        return new UsageState(
                latestWindow, closedWindow, List.copyOf(open.values()), List.copyOf(frozen.values()), requests);
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param state the state
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
     * Forgets requests that were counted too long ago, both by the windows and by the records since.
     *
     * @param offset the present offset
     */
    private void forgetCounted(long offset) {
        Iterator<Counted> oldest = counted.values().iterator();
        while (oldest.hasNext()) {
            Counted when = oldest.next();
            boolean longAgo = when.window() < latestWindow - COUNTED_KEPT_MILLIS;
            if (!longAgo || when.offset() > offset - COUNTED_KEPT_RECORDS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Forgets the oldest reported windows.
     */
    private void forgetReported() {
        long reportedWindows =
                frozen.values().stream().filter(FrozenWindow::reported).count();
        Iterator<FrozenWindow> oldest = frozen.values().iterator();
        while (reportedWindows > REPORTED_KEPT_WINDOWS && oldest.hasNext()) {
            if (oldest.next().reported()) {
                oldest.remove();
                reportedWindows--;
            }
        }
    }

    /**
     * What tells counted requests apart.
     *
     * @param account the client account
     * @param request the request
     */
    private record CountedKey(AccountId account, RequestId request) {}

    /**
     * When a request was counted.
     *
     * @param window the latest window by then
     * @param offset the offset of the record
     */
    private record Counted(long window, long offset) {}
}
