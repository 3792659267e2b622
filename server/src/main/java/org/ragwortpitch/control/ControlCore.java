package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragwortpitch.journal.Checkpoint;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.UsageReport;

/**
 * All control state of a daemon. It reads no clock and does no input or output of its own. Confined to the control
 * thread.
 */
final class ControlCore implements AppliedListener {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(ControlCore.class.getName());

    /**
     * How long to wait after a read that failed, in milliseconds.
     */
    private static final long READ_BACKOFF_MILLIS = 200;

    /**
     * The settings.
     */
    private final ControlSettings settings;

    /**
     * Calls the log.
     */
    private final LogCalls log;

    /**
     * Takes each new snapshot, before anything is written that follows from it.
     */
    private final Consumer<Snapshot> publisher;

    /**
     * The log as applied.
     */
    private final ControlFold fold = new ControlFold();

    /**
     * Follows the log.
     */
    private final LogTail tail = new LogTail(fold, this);

    /**
     * Writes to the log.
     */
    private final JournalWriter writer;

    /**
     * This daemon's membership.
     */
    private final MemberSession session;

    /**
     * Watches other members' leases.
     */
    private final EvictionWatch watch;

    /**
     * Starts and ends operations.
     */
    private final OperationDesk operations;

    /**
     * Keeps and changes the rules.
     */
    private final RulesDesk rules;

    /**
     * Reports usage.
     */
    private final ReportDesk reports;

    /**
     * When the log's head was last known to be applied; the beginning of time before.
     */
    private long contactMillis = Long.MIN_VALUE;

    /**
     * Whether a read is under way.
     */
    private boolean reading;

    /**
     * When the next read may be sent.
     */
    private long readAtMillis = Long.MIN_VALUE;

    /**
     * Whether the last read failed.
     */
    private boolean readFailing;

    /**
     * Makes control state that has read nothing.
     *
     * @param settings     the settings
     * @param log          calls the log
     * @param reportSender sends a usage report under a term
     * @param publisher    takes each new snapshot
     */
    ControlCore(
            ControlSettings settings,
            LogCalls log,
            BiConsumer<UsageReport, Long> reportSender,
            Consumer<Snapshot> publisher) {
        this.settings = settings;
        this.log = log;
        this.publisher = publisher;
        this.writer = new JournalWriter(log);
        this.session = new MemberSession(settings.identity(), settings.timing(), fold, writer);
        this.watch = new EvictionWatch(settings.timing());
        this.operations = new OperationDesk(fold, writer);
        this.rules = new RulesDesk(fold, writer);
        this.reports = new ReportDesk(fold, writer, reportSender);
    }

    /**
     * Does what is due.
     *
     * @param nowMillis  the present time, of the monotonic clock
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    void tick(long nowMillis, long wallMillis) {
        if (contactMillis != Long.MIN_VALUE) {
            session.tick(tail.nextOffset(), nowMillis);
        }
        if (session.believes(nowMillis) && !readFailing) {
            plan(nowMillis, wallMillis);
        }
        publish();
        writer.flush(session.incarnation(), nowMillis);
        if (!reading && nowMillis >= readAtMillis) {
            reading = true;
            log.read(tail.nextOffset(), nowMillis);
        }
    }

    /**
     * Writes what duties and other members' ended leases ask for.
     *
     * @param nowMillis  the present time, of the monotonic clock
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    private void plan(long nowMillis, long wallMillis) {
        watch.ended(session.incarnation(), nowMillis).stream()
                .filter(gone -> !writer.hasPending(gone::equals))
                .forEach(writer::add);
        settings
                .planner()
                .plan(fold, session.incarnation(), rules.configuration().pools(), wallMillis)
                .stream()
                .filter(entry -> !writer.hasPending(other ->
                        other.getClass() == entry.getClass() && (other.equals(entry) || entry instanceof Checkpoint)))
                .forEach(writer::add);
        if (!session.isLeaving()) {
            reports.tick(session.incarnation(), nowMillis);
        }
    }

    /**
     * Takes a page of the log.
     *
     * @param sentMillis when the read was sent, of the monotonic clock
     * @param page       the page
     * @param nowMillis  the present time, of the monotonic clock
     */
    void pageRead(long sentMillis, LogPage page, long nowMillis) {
        reading = false;
        readFailing = false;
        boolean atHead = tail.take(page);
        if (atHead) {
            contactMillis = Math.max(contactMillis, sentMillis);
        }
        if (!page.records().isEmpty()) {
            watch.observe(fold.members(), nowMillis);
            if (rules.refresh()) {
                session.renewSoon();
            }
        }
    }

    /**
     * Takes the failure of a read.
     *
     * @param reason    why
     * @param nowMillis the present time, of the monotonic clock
     */
    void readFailed(String reason, long nowMillis) {
        reading = false;
        readAtMillis = nowMillis + READ_BACKOFF_MILLIS;
        if (!readFailing) {
            Event.of("log-unreachable").with("reason", reason).warn(LOGGER);
        }
        readFailing = true;
    }

    /**
     * Takes the log's acknowledgement of a batch.
     *
     * @param done the acknowledgement
     */
    void appendDone(AppendDone done) {
        writer.acknowledged(done.batch(), done.offset());
    }

    /**
     * Takes the failure of a batch.
     *
     * @param failed    the failure
     * @param nowMillis the present time, of the monotonic clock
     */
    void appendFailed(AppendFailed failed, long nowMillis) {
        if (!writer.isFailing()) {
            Event.of("append-unanswered").with("reason", failed.reason()).warn(LOGGER);
        }
        writer.failed(failed.batch(), nowMillis);
    }

    /**
     * Starts an operation.
     *
     * @param request    the wish
     * @param nowMillis  the present time, of the monotonic clock
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    void startOperation(StartOperation request, long nowMillis, long wallMillis) {
        boolean fresh = contactMillis != Long.MIN_VALUE && nowMillis - contactMillis < settings.freshMillis();
        operations.start(request, session.believes(nowMillis) && fresh, wallMillis);
    }

    /**
     * Begins to leave, or leaves.
     *
     * @param request   the wish
     * @param nowMillis the present time, of the monotonic clock
     */
    void beginLeaving(BeginLeaving request, long nowMillis) {
        if (!request.last()) {
            session.beginLeaving(nowMillis);
            request.done().complete(true);
        } else if (session.isMember()) {
            session.leave().acknowledged().thenAccept(offset -> request.done().complete(true));
        } else {
            request.done().complete(false);
        }
    }

    /**
     * Publishes a snapshot.
     */
    private void publish() {
        publisher.accept(new Snapshot(
                session.incarnation(),
                session.isMember(),
                session.isLeaving(),
                rules.configuration(),
                rules.version(),
                fold.members(),
                fold.duties().terms(),
                fold.appliedOffset(),
                session.leaseEndMillis(),
                contactMillis));
    }

    @Override
    public void applied(LogRecord record, Verdict verdict) {
        if (session.isOwn(record.writer())) {
            writer.readBack(record.sequence(), record.offset(), verdict);
        }
    }

    @Override
    public void skipped(long offset) {
        Event.of("record-skipped").with("offset", offset).warn(LOGGER);
    }

    /**
     * Ends an operation.
     *
     * @param request the end
     */
    void endOperation(EndOperation request) {
        operations.end(request.key(), request.outcome());
    }

    /**
     * Proposes other rules.
     *
     * @param proposal the proposal
     */
    void propose(ProposeRules proposal) {
        rules.propose(proposal);
    }

    /**
     * Records usage.
     *
     * @param request the usage
     */
    void recordUsage(RecordUsage request) {
        writer.addUsage(request.entry(), request.durable());
    }

    /**
     * Takes the platform's acknowledgement of a report.
     *
     * @param done the acknowledgement
     */
    void reportDone(ReportDone done) {
        reports.done(done);
    }

    /**
     * Takes a report's failure.
     *
     * @param failed    the failure
     * @param nowMillis the present time, of the monotonic clock
     */
    void reportFailed(ReportFailed failed, long nowMillis) {
        reports.failed(failed, nowMillis);
    }

    /**
     * Gives access to the log as applied, for showing it.
     *
     * @return the fold
     */
    ControlFold fold() {
        return fold;
    }
}
