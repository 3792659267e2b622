package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.WindowReported;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.platform.UsageReport;
import org.ragwortpitch.usage.FrozenWindow;

/**
 * Reports closed windows while this daemon holds the usage duty. Confined to the control thread.
 */
final class UsageReporter {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(UsageReporter.class.getName());

    /**
     * How long to wait after a report that failed, in milliseconds.
     */
    private static final long BACKOFF_MILLIS = 1_000;

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * Sends a report; its answer comes as a message.
     */
    private final BiConsumer<UsageReport, Long> sender;

    /**
     * Whether a report is under way.
     */
    private boolean sending;

    /**
     * When the next report may be sent.
     */
    private long nextAtMillis = Long.MIN_VALUE;

    /**
     * Makes a desk.
     *
     * @param fold   the log as applied
     * @param writer writes to the log
     * @param sender sends a report under a term
     */
    UsageReporter(ControlFold fold, LogWriter writer, BiConsumer<UsageReport, Long> sender) {
        this.reducer = fold;
        this.writer = writer;
        this.sender = sender;
    }

    /**
     * Sends the next report if it is time. The caller has checked the lease just before.
     *
     * @param self      this daemon's incarnation
     * @param nowMillis the present time, of the monotonic clock
     */
    void tick(Incarnation self, long nowMillis) {
        Optional<DutyTerm> held = DutyPlanner.heldBy(reducer, Duties.USAGE, self);
        Optional<FrozenWindow> next = reducer.usage().nextToReport();
        boolean acknowledged = writer.hasPending(entry -> entry instanceof WindowReported);
        if (held.isEmpty() || next.isEmpty() || sending || acknowledged || nowMillis < nextAtMillis) {
            return;
        }
        sending = true;
        FrozenWindow window = next.get();
        UsageReport report = new UsageReport(window.window(), held.get().term(), self.value(), window.lines());
        sender.accept(report, held.get().term());
    }

    /**
     * Takes the platform's acknowledgement.
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
     * Takes a report's failure; it will be repeated.
     *
     * @param failed    the failure
     * @param nowMillis the present time, of the monotonic clock
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
