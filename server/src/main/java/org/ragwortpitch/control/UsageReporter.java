package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.WindowReported;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.platform.UsageReport;
import org.ragwortpitch.usage.FrozenWindow;

/**
 * Reports closed usage windows to the platform while this daemon holds the usage duty. Confined to the control thread.
 */
final class UsageReporter {

    private static final Logger LOGGER = System.getLogger(UsageReporter.class.getName());

    /**
     * Delay before the next report after a failed one, in milliseconds.
     */
    private static final long BACKOFF_MILLIS = 1_000;

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    /**
     * Sends a report under a term of the duty. The result arrives as a message.
     */
    private final BiConsumer<UsageReport, Long> sender;

    private boolean sending;

    /**
     * The earliest time of the next report, of the monotonic clock.
     */
    private long nextAtMillis = Long.MIN_VALUE;

    UsageReporter(ControlStateReducer reducer, LogWriter writer, BiConsumer<UsageReport, Long> sender) {
        this.reducer = reducer;
        this.writer = writer;
        this.sender = sender;
    }

    /**
     * Sends the report of the next closed window, unless a report or the record of its acknowledgement is pending. The
     * caller must have checked the lease just before.
     *
     * @param self      the incarnation of this daemon
     * @param nowMillis the time of the monotonic clock
     */
    void tick(Incarnation self, long nowMillis) {
        Optional<DutyTerm> held = DutyPlanner.heldBy(reducer, Duties.USAGE, self);
        Optional<FrozenWindow> next = reducer.usage().nextToReport();
        boolean recordPending = writer.hasPending(entry -> entry instanceof WindowReported);
        if (held.isEmpty() || next.isEmpty() || sending || recordPending || nowMillis < nextAtMillis) {
            return;
        }
        sending = true;
        FrozenWindow window = next.get();
        UsageReport report = new UsageReport(window.window(), held.get().term(), self.value(), window.lines());
        sender.accept(report, held.get().term());
    }

    /**
     * Records in the log that the platform has acknowledged a report.
     *
     * @param done the acknowledgement
     */
    void handleAcknowledgement(ReportDone done) {
        sending = false;
        writer.add(new WindowReported(done.window(), done.term()));
        Event.of("window-reported")
                .with("window", done.window())
                .with("term", done.term())
                .info(LOGGER);
    }

    /**
     * Handles the failure of a report, which is resent after a backoff.
     *
     * @param failed    the failure
     * @param nowMillis the time of the monotonic clock
     */
    void handleFailure(ReportFailed failed, long nowMillis) {
        sending = false;
        nextAtMillis = nowMillis + BACKOFF_MILLIS;
        Event.of("report-failed")
                .with("window", failed.window())
                .with("reason", failed.reason())
                .warn(LOGGER);
    }
}
