package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.Checkpoint;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.StoredRecord;
import org.ragwortpitch.platform.UsageReport;

/**
 * The control state of a daemon and the work that follows from it. It reads no clock and does no input or output
 * itself: times are passed in, and calls go through the given clients. Confined to the control thread.
 */
final class ControlCore implements AppliedRecordListener {

    private static final Logger LOGGER = System.getLogger(ControlCore.class.getName());

    /**
     * Delay before the next read after a failed one, in milliseconds.
     */
    private static final long READ_BACKOFF_MILLIS = 200;

    private final ControlSettings settings;

    private final LogClient log;

    /**
     * Receives each new snapshot before any record that follows from it is written.
     */
    private final Consumer<Snapshot> publisher;

    private final ControlStateReducer reducer = new ControlStateReducer();

    private final LogReplayer replayer = new LogReplayer(reducer, this);

    private final LogWriter writer;

    private final MemberSession session;

    private final EvictionWatch watch;

    private final PeerCoordinator peers;

    private final OperationCoordinator operations;

    private final RulesCoordinator rules;

    private final RoleOrderCoordinator roleOrders;

    private final UsageReporter usageReporter;

    /**
     * When this daemon's own read last showed that it had applied the log up to its head, of the monotonic clock;
     * {@link Long#MIN_VALUE} if never.
     */
    private long contactMillis = Long.MIN_VALUE;

    /**
     * The offset of the last change of the membership that was handled.
     */
    private long handledMembershipOffset = -1;

    private SnapshotKey lastPublished;

    private boolean reading;

    /**
     * The earliest time of the next read, of the monotonic clock.
     */
    private long readAtMillis = Long.MIN_VALUE;

    /**
     * Whether the last read failed. While reads fail, no evictions and no entries of duties are written; only the first
     * failure in a row is logged.
     */
    private boolean readFailing;

    /**
     * Creates the control state before any record was read.
     *
     * @param settings     the settings
     * @param log          the client of the log
     * @param reportSender sends a usage report under a term of the usage duty
     * @param orderSender  sends orders to engines
     * @param publisher    receives each new snapshot
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
     * Joins or renews, writes the entries that are due, publishes a snapshot if it changed, sends a waiting batch and
     * starts the next read.
     *
     * @param nowMillis  the time of the monotonic clock
     * @param wallMillis the time in milliseconds since the epoch
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
     * Evicts members whose leases have expired and does the work of the duties that this daemon holds. An entry that is
     * already pending is not written again; of checkpoints, one at a time.
     */
    private void writeDueEntries(long nowMillis, long wallMillis) {
        long joinedOffset = reducer.membership()
                .find(session.incarnation())
                .map(Member::joinedOffset)
                .orElse(Long.MAX_VALUE);
        watch.expired(session.incarnation(), joinedOffset, nowMillis).stream()
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
     * Applies a page of the log. If that reaches the head of the log, the state was current when the read was sent.
     *
     * @param sentMillis when the read was sent, of the monotonic clock
     * @param page       the page
     * @param nowMillis  the time of the monotonic clock
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
     * Updates what depends on the applied records. A change of the rules or of the membership is acknowledged to the
     * other members at once, by an early renewal.
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

    void answerRecords(QueryRecords query) {
        query.result().complete(replayer.recentRecords(query.fromOffset()));
    }

    void answerPresence(QueryPresence query, long nowMillis) {
        peers.answerPresence(query, contactMillis, nowMillis);
    }

    PeerCoordinator peers() {
        return peers;
    }

    /**
     * Applies records that another member sent. They don't count as contact with the log.
     *
     * @param records   the records in the order of their offsets
     * @param nowMillis the time of the monotonic clock
     */
    void applyPeerRecords(List<StoredRecord> records, long nowMillis) {
        if (replayer.applyPeerRecords(records)) {
            handleAppliedRecords(nowMillis);
        }
    }

    void handleReadFailure(String reason, long nowMillis) {
        reading = false;
        readAtMillis = nowMillis + READ_BACKOFF_MILLIS;
        if (!readFailing) {
            Event.of("log-unreachable").with("reason", reason).warn(LOGGER);
        }
        readFailing = true;
    }

    /**
     * Starts an operation. Only a member that was in contact with the head of the log recently enough may start one.
     *
     * @param request    the request
     * @param nowMillis  the time of the monotonic clock
     * @param wallMillis the time in milliseconds since the epoch
     */
    void startOperation(StartOperation request, long nowMillis, long wallMillis) {
        boolean fresh = contactMillis != Long.MIN_VALUE && nowMillis - contactMillis < settings.freshMillis();
        operations.start(request, session.isActiveMember(nowMillis) && fresh, wallMillis);
    }

    private void publishIfChanged(long nowMillis) {
        SnapshotKey key = new SnapshotKey(
                session.incarnation(),
                session.isMember(),
                session.isLeaving(),
                reducer.appliedOffset(),
                session.leaseEndMillis(),
                Math.max(session.leaseEndMillis(), peers.noEvictionUntilMillis()),
                peers.rulesConfirmedMillis(contactMillis, nowMillis));
        if (key.equals(lastPublished)) {
            return;
        }
        lastPublished = key;
        publisher.accept(key.toSnapshot(
                rules,
                reducer.members(),
                reducer.duties().terms(),
                reducer.orders().targets(),
                Math.max(
                        reducer.membership().changedOffset(),
                        reducer.configuration().version())));
    }

    @Override
    public void onRecordApplied(LogRecord record, ApplyResult result) {
        if (session.isOwn(record.writer())) {
            writer.handleReadBack(record.sequence(), record.offset(), result);
        }
    }

    MemberSession session() {
        return session;
    }

    OperationCoordinator operations() {
        return operations;
    }

    RulesCoordinator rules() {
        return rules;
    }

    RoleOrderCoordinator roleOrders() {
        return roleOrders;
    }

    UsageReporter usageReporter() {
        return usageReporter;
    }

    LogWriter writer() {
        return writer;
    }

    ControlStateReducer reducer() {
        return reducer;
    }
}
