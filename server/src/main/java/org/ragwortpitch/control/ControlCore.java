package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragwortpitch.journal.Checkpoint;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.StoredRecord;
import org.ragwortpitch.platform.UsageReport;

/**
 * All control state of a daemon, without clock, input or output of its own. Confined to the control thread.
 */
final class ControlCore implements AppliedRecordListener {

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
    private final LogClient log;

    /**
     * Takes each new snapshot, before anything is written that follows from it.
     */
    private final Consumer<Snapshot> publisher;

    /**
     * The log as applied.
     */
    private final ControlFold reducer = new ControlFold();

    /**
     * Follows the log.
     */
    private final LogReplayer replayer = new LogReplayer(reducer, this);

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * This daemon's membership.
     */
    private final MemberSession session;

    /**
     * Watches other members' leases.
     */
    private final EvictionWatch watch;

    /**
     * What this daemon and other members tell each other.
     */
    private final PeerCoordinator peers;

    /**
     * Starts and ends operations.
     */
    private final OperationCoordinator operations;

    /**
     * Keeps and changes the rules.
     */
    private final RulesCoordinator rules;

    /**
     * Orders engines.
     */
    private final RoleOrderCoordinator roleOrders;

    /**
     * Reports usage.
     */
    private final UsageReporter usageReporter;

    /**
     * When this daemon itself was last in touch with the log's head; the beginning of time before.
     */
    private long contactMillis = Long.MIN_VALUE;

    /**
     * Where members had last changed when that was followed up.
     */
    private long handledMembershipOffset = -1;

    /**
     * What was published last.
     */
    private SnapshotKey lastPublished;

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
     * @param orderSender  sends orders to engines
     * @param publisher    takes each new snapshot
     */
    ControlCore(
            ControlSettings settings,
            LogClient log,
            BiConsumer<UsageReport, Long> reportSender,
            OrderSender orderSender,
            Consumer<Snapshot> publisher) {
        this.settings = settings;
        this.log = log;
        this.publisher = publisher;
        this.writer = new LogWriter(log);
        this.session = new MemberSession(settings.identity(), settings.timing(), reducer, writer);
        this.watch = new EvictionWatch(settings.timing());
        this.peers = new PeerCoordinator(settings, reducer, writer, session, watch);
        this.operations = new OperationCoordinator(reducer, writer);
        this.rules = new RulesCoordinator(reducer, writer);
        this.roleOrders = new RoleOrderCoordinator(reducer, writer, session, orderSender);
        this.usageReporter = new UsageReporter(reducer, writer, reportSender);
    }

    /**
     * Does what is due.
     *
     * @param nowMillis  the present time, of the monotonic clock
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    void tick(long nowMillis, long wallMillis) {
        if (contactMillis != Long.MIN_VALUE) {
            session.tick(replayer.nextOffset(), nowMillis);
        }
        if (session.isActiveMember(nowMillis) && !readFailing) {
            writeDueEntries(nowMillis, wallMillis);
        }
        publishIfChanged(nowMillis);
        writer.flush(session.incarnation(), nowMillis);
        if (!reading && nowMillis >= readAtMillis) {
            reading = true;
            log.read(replayer.nextOffset(), nowMillis);
        }
    }

    /**
     * Writes what duties and other members' ended leases ask for.
     *
     * @param nowMillis  the present time, of the monotonic clock
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    private void writeDueEntries(long nowMillis, long wallMillis) {
        long joinedOffset = reducer.membership()
                .find(session.incarnation())
                .map(Member::joinedOffset)
                .orElse(Long.MAX_VALUE);
        watch.ended(session.incarnation(), joinedOffset, nowMillis).stream()
                .filter(gone -> !writer.hasPending(gone::equals))
                .forEach(writer::add);
        settings
                .planner()
                .plan(reducer, session.incarnation(), rules.configuration().pools(), wallMillis)
                .stream()
                .filter(entry -> !writer.hasPending(other ->
                        other.getClass() == entry.getClass() && (other.equals(entry) || entry instanceof Checkpoint)))
                .forEach(writer::add);
        if (!session.isLeaving()) {
            usageReporter.tick(session.incarnation(), nowMillis);
            roleOrders.tick(rules.configuration(), nowMillis);
        }
    }

    /**
     * Takes a page of the log.
     *
     * @param sentMillis when the read was sent, of the monotonic clock
     * @param page       the page
     * @param nowMillis  the present time, of the monotonic clock
     */
    void handlePage(long sentMillis, LogPage page, long nowMillis) {
        reading = false;
        readFailing = false;
        boolean atHead = replayer.applyPage(page);
        if (atHead) {
            contactMillis = Math.max(contactMillis, sentMillis);
        }
        if (!page.records().isEmpty()) {
            handleAppliedRecords(nowMillis);
        }
    }

    /**
     * Follows up on records that were applied.
     *
     * @param nowMillis the present time, of the monotonic clock
     */
    private void handleAppliedRecords(long nowMillis) {
        watch.observe(reducer.members(), nowMillis);
        peers.removeFormerMembers();
        long changedOffset = reducer.membership().changedOffset();
        if (rules.refresh() || changedOffset != handledMembershipOffset) {
            session.renewAtNextTick();
        }
        handledMembershipOffset = changedOffset;
    }

    /**
     * Answers another member with records.
     *
     * @param question the question
     */
    void answerRecords(AskRecords question) {
        question.result().complete(replayer.recentRecords(question.fromOffset()));
    }

    /**
     * Answers another member how far this one is.
     *
     * @param question  the question
     * @param nowMillis the present time, of the monotonic clock
     */
    void answerPresence(AskPresence question, long nowMillis) {
        peers.answerPresence(question, contactMillis, nowMillis);
    }

    /**
     * Gives access to what other members tell.
     *
     * @return the desk
     */
    PeerCoordinator peers() {
        return peers;
    }

    /**
     * Takes records that another member has sent.
     *
     * @param records   the records
     * @param nowMillis the present time, of the monotonic clock
     */
    void applyPeerRecords(List<StoredRecord> records, long nowMillis) {
        if (replayer.applyPeerRecords(records)) {
            handleAppliedRecords(nowMillis);
        }
    }

    /**
     * Takes the failure of a read.
     *
     * @param reason    why
     * @param nowMillis the present time, of the monotonic clock
     */
    void handleReadFailure(String reason, long nowMillis) {
        reading = false;
        readAtMillis = nowMillis + READ_BACKOFF_MILLIS;
        if (!readFailing) {
            Event.of("log-unreachable").with("reason", reason).warn(LOGGER);
        }
        readFailing = true;
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
        operations.start(request, session.isActiveMember(nowMillis) && fresh, wallMillis);
    }

    /**
     * Publishes a snapshot if anything in it has changed.
     *
     * @param nowMillis the present time, of the monotonic clock
     */
    private void publishIfChanged(long nowMillis) {
        SnapshotKey mark = new SnapshotKey(
                session.incarnation(),
                session.isMember(),
                session.isLeaving(),
                reducer.appliedOffset(),
                session.leaseEndMillis(),
                Math.max(session.leaseEndMillis(), peers.noEvictionUntilMillis()),
                peers.rulesConfirmedMillis(contactMillis, nowMillis));
        if (mark.equals(lastPublished)) {
            return;
        }
        lastPublished = mark;
        publisher.accept(mark.toSnapshot(
                rules,
                reducer.members(),
                reducer.duties().terms(),
                reducer.orders().targets(),
                Math.max(
                        reducer.membership().changedOffset(),
                        reducer.configuration().version())));
    }

    @Override
    public void onRecordApplied(LogRecord record, Verdict verdict) {
        if (session.isOwn(record.writer())) {
            writer.handleReadBack(record.sequence(), record.offset(), verdict);
        }
    }

    /**
     * Gives access to this daemon's membership.
     *
     * @return the session
     */
    MemberSession session() {
        return session;
    }

    /**
     * Gives access to operations.
     *
     * @return the desk
     */
    OperationCoordinator operations() {
        return operations;
    }

    /**
     * Gives access to the rules.
     *
     * @return the desk
     */
    RulesCoordinator rules() {
        return rules;
    }

    /**
     * Gives access to orders to engines.
     *
     * @return the desk
     */
    RoleOrderCoordinator roleOrders() {
        return roleOrders;
    }

    /**
     * Gives access to usage reports.
     *
     * @return the desk
     */
    UsageReporter usageReporter() {
        return usageReporter;
    }

    /**
     * Gives access to what is on its way into the log.
     *
     * @return the writer
     */
    LogWriter writer() {
        return writer;
    }

    /**
     * Gives access to the log as applied.
     *
     * @return the fold
     */
    ControlFold reducer() {
        return reducer;
    }
}
