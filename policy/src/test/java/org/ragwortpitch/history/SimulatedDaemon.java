package org.ragwortpitch.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.LogEntry;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.MemberGone;
import org.ragwortpitch.controllog.MemberJoined;
import org.ragwortpitch.controllog.MemberRenewed;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.limit.AccountQuotas;
import org.ragwortpitch.limit.QuotaContext;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.MemberLease;
import org.ragwortpitch.membership.PeerProgress;
import org.ragwortpitch.membership.PeerProgressTracker;

/**
 * The control state of one daemon in a simulated history, built from the components that real daemons run.
 */
final class SimulatedDaemon {

    static final long LENT_QUOTA_MILLIS = 500;

    private static final DutyPlanner PLANNER = new DutyPlanner(60_000, 5_000, Long.MAX_VALUE);

    private final int index;

    private final double clockRate;

    private final Variant variant;

    private final LeaseTiming timing;

    private final List<AccountRule> accounts;

    private ControlStateReducer reducer;

    private MemberLease lease;

    private EvictionWatch watch;

    private PeerProgressTracker peerProgress;

    private AccountQuotas quotas;

    private Incarnation self;

    private long nextSequence;

    private boolean member;

    private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();

    private int position;

    private int incarnations;

    private double pausedUntilMillis;

    private List<QuotaHandover> handovers = List.of();

    SimulatedDaemon(int index, double clockRate, Variant variant, LeaseTiming timing, List<AccountRule> accounts) {
        this.index = index;
        this.clockRate = clockRate;
        this.variant = variant;
        this.timing = timing;
        this.accounts = accounts;
        restart();
    }

    /**
     * Starts a new incarnation without any state of the former one.
     */
    void restart() {
        reducer = new ControlStateReducer();
        watch = new EvictionWatch(timing);
        peerProgress = new PeerProgressTracker();
        quotas = new AccountQuotas(1, variant == Variant.LOAN_WITHOUT_RESERVATION ? 0 : LENT_QUOTA_MILLIS);
        position = 0;
        startIncarnation();
    }

    private void startIncarnation() {
        incarnations++;
        self = new Incarnation("d" + index + "-" + incarnations);
        lease = new MemberLease(timing);
        nextSequence = 0;
        member = false;
        pendingAppends.clear();
    }

    long local(double nowMillis) {
        return (long) (nowMillis * clockRate);
    }

    void pause(double untilMillis) {
        pausedUntilMillis = untilMillis;
    }

    boolean isPaused(double nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Reads the log up to an offset and applies its records.
     */
    void read(List<LogRecord> records, int upTo, double nowMillis) {
        while (position < upTo) {
            LogRecord record = records.get(position++);
            apply(record, nowMillis);
        }
        watch.observe(reducer.members(), local(nowMillis));
        peerProgress.retain(reducer.members().stream().map(Member::incarnation).toList());
        if (member && reducer.membership().find(self).isEmpty()) {
            startIncarnation();
        }
        handovers = updateQuotas(nowMillis);
    }

    private void apply(LogRecord record, double nowMillis) {
        LogRecord applied = record;
        if (variant == Variant.EVICTION_WITHOUT_SUPERSEDED_OFFSET && record.entry() instanceof MemberGone gone) {
            long newest = reducer.membership()
                    .find(gone.target())
                    .map(Member::renewedOffset)
                    .orElse(-1L);
            MemberGone unconditional = new MemberGone(gone.target(), newest);
            applied = new LogRecord(record.offset(), record.writer(), record.sequence(), unconditional);
        }
        ApplyResult result = reducer.apply(applied);
        boolean own = record.writer().equals(self) && !pendingAppends.isEmpty();
        if (own && pendingAppends.peekFirst().sequence() == record.sequence()) {
            PendingAppend sent = pendingAppends.removeFirst();
            if (result == ApplyResult.ACCEPTED && renews(sent.entry())) {
                if (variant == Variant.LEASE_FROM_READ_BACK) {
                    lease.recordSending(-record.sequence(), local(nowMillis));
                    lease.recordAccepted(-record.sequence());
                }
                lease.recordAccepted(record.sequence());
                member = true;
            }
        }
    }

    private static boolean renews(LogEntry entry) {
        return entry instanceof MemberJoined || entry instanceof MemberRenewed;
    }

    /**
     * Appends the next planned record, or repeats the oldest one that was not read back.
     */
    void act(SimulatedLog log, double nowMillis) {
        long localMillis = local(nowMillis);
        if (pendingAppends.isEmpty()) {
            plan(localMillis);
        }
        if (!pendingAppends.isEmpty()) {
            PendingAppend first = pendingAppends.peekFirst();
            log.append(self, first.sequence(), first.entry(), nowMillis);
        }
        handovers = updateQuotas(nowMillis);
    }

    private void plan(long localMillis) {
        if (!member) {
            String address = "a" + index + "-" + incarnations;
            add(
                    new MemberJoined(
                            new InstanceId("i" + index),
                            new FailureDomain("f"),
                            address,
                            address,
                            reducer.appliedOffset() + 1),
                    localMillis);
            return;
        }
        add(new MemberRenewed(reducer.appliedOffset(), false), localMillis);
        if (holdsLease(localMillis)) {
            long joined =
                    reducer.membership().find(self).map(Member::joinedOffset).orElse(Long.MAX_VALUE);
            watch.expired(self, joined, localMillis).forEach(gone -> add(gone, localMillis));
            PLANNER.plan(reducer, self, List.of(), 0).forEach(entry -> add(entry, localMillis));
        }
    }

    private void add(LogEntry entry, long localMillis) {
        nextSequence++;
        pendingAppends.addLast(new PendingAppend(nextSequence, entry));
        if (renews(entry)) {
            lease.recordSending(nextSequence, localMillis);
        }
    }

    private boolean holdsLease(long localMillis) {
        return member && lease.isHeld(localMillis);
    }

    /**
     * Returns whether this daemon assumes that it holds the usage duty, from its own lease and the records it applied.
     */
    boolean assumesUsageDuty(double nowMillis) {
        return holdsLease(local(nowMillis))
                && DutyPlanner.heldBy(reducer, Duties.USAGE, self).isPresent();
    }

    private List<QuotaHandover> updateQuotas(double nowMillis) {
        long promisedMillis = peerProgress.promisedUntilMillis(self, reducer.members(), timing.ttlMillis());
        long endMillis = member ? Math.max(lease.endMillis(), promisedMillis) : Long.MIN_VALUE;
        List<Member> members = reducer.members();
        if (variant == Variant.OWNER_WITHOUT_ACKNOWLEDGEMENT) {
            members = members.stream()
                    .map(other -> other.withRenewal(other.renewedOffset(), Long.MAX_VALUE, false))
                    .toList();
        }
        return quotas.update(
                new QuotaContext(
                        self,
                        members,
                        accounts,
                        reducer.membership().changedOffset(),
                        reducer.appliedOffset(),
                        endMillis),
                local(nowMillis));
    }

    /**
     * Answers a probe of another daemon with this daemon's progress, as a real daemon does. The answer may promise not
     * to evict the requester.
     */
    PeerProgress answerProbe(Incarnation requester, long probedMillis, double nowMillis) {
        boolean evicting = pendingAppends.stream()
                .anyMatch(sent ->
                        sent.entry() instanceof MemberGone gone && gone.target().equals(requester));
        boolean promised = member && reducer.membership().find(requester).isPresent() && !evicting;
        if (promised) {
            watch.promise(requester, local(nowMillis));
        }
        return new PeerProgress(self, reducer.appliedOffset(), Long.MIN_VALUE, probedMillis, promised);
    }

    void receive(PeerProgress progress) {
        peerProgress.record(progress);
    }

    Incarnation self() {
        return self;
    }

    AccountQuotas quotas() {
        return quotas;
    }

    List<QuotaHandover> handovers() {
        return handovers;
    }

    int position() {
        return position;
    }

    /**
     * A record that was appended or is to be appended, and was not read back yet.
     */
    private record PendingAppend(long sequence, LogEntry entry) {}
}
