package org.ragwortpitch.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.LogEntry;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.MemberGone;
import org.ragwortpitch.journal.MemberJoined;
import org.ragwortpitch.journal.MemberRenewed;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.limit.LimitView;
import org.ragwortpitch.limit.Limits;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.MemberLease;
import org.ragwortpitch.membership.Witness;
import org.ragwortpitch.membership.Witnesses;

/**
 * One daemon's control state in a history, made of the parts that real daemons run.
 */
final class SimulatedDaemon {

    static final long LOAN_MILLIS = 500;

    private static final DutyPlanner PLANNER = new DutyPlanner(60_000, 5_000, Long.MAX_VALUE);

    private final int index;

    private final double clockRate;

    private final Variant variant;

    private final LeaseTiming timing;

    private final List<AccountRule> accounts;

    private ControlFold fold;

    private MemberLease lease;

    private EvictionWatch watch;

    private Witnesses witnesses;

    private Limits limits;

    private Incarnation self;

    private long nextSequence;

    private boolean member;

    private final Deque<Outgoing> outgoing = new ArrayDeque<>();

    private int position;

    private int lives;

    private double pausedUntilMillis;

    private List<Surrender> surrendered = List.of();

    SimulatedDaemon(int index, double clockRate, Variant variant, LeaseTiming timing, List<AccountRule> accounts) {
        this.index = index;
        this.clockRate = clockRate;
        this.variant = variant;
        this.timing = timing;
        this.accounts = accounts;
        restart();
    }

    /**
     * Begins a new life, in which everything is forgotten.
     */
    void restart() {
        fold = new ControlFold();
        watch = new EvictionWatch(timing);
        witnesses = new Witnesses();
        limits = new Limits(1, variant == Variant.LOAN_WITHOUT_HOLD ? 0 : LOAN_MILLIS);
        position = 0;
        begin();
    }

    private void begin() {
        lives++;
        self = new Incarnation("d" + index + "-" + lives);
        lease = new MemberLease(timing);
        nextSequence = 0;
        member = false;
        outgoing.clear();
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
     * Reads the log up to an offset and applies it.
     */
    void read(List<LogRecord> records, int upTo, double nowMillis) {
        while (position < upTo) {
            LogRecord record = records.get(position++);
            apply(record, nowMillis);
        }
        watch.observe(fold.members(), local(nowMillis));
        witnesses.retain(fold.members().stream().map(Member::incarnation).toList());
        if (member && fold.membership().find(self).isEmpty()) {
            begin();
        }
        surrendered = follow(nowMillis);
    }

    private void apply(LogRecord record, double nowMillis) {
        LogRecord seen = record;
        if (variant == Variant.GONE_WITHOUT_SUPERSEDED_OFFSET && record.entry() instanceof MemberGone gone) {
            long newest = fold.membership()
                    .find(gone.target())
                    .map(Member::renewedOffset)
                    .orElse(-1L);
            MemberGone untied = new MemberGone(gone.target(), newest);
            seen = new LogRecord(record.offset(), record.writer(), record.sequence(), untied);
        }
        Verdict verdict = fold.apply(seen);
        boolean mine = record.writer().equals(self) && !outgoing.isEmpty();
        if (mine && outgoing.peekFirst().sequence() == record.sequence()) {
            Outgoing sent = outgoing.removeFirst();
            if (verdict == Verdict.ACCEPTED && renews(sent.entry())) {
                if (variant == Variant.LEASE_FROM_READ_BACK) {
                    lease.sending(-record.sequence(), local(nowMillis));
                    lease.accepted(-record.sequence());
                }
                lease.accepted(record.sequence());
                member = true;
            }
        }
    }

    private static boolean renews(LogEntry entry) {
        return entry instanceof MemberJoined || entry instanceof MemberRenewed;
    }

    /**
     * Writes what is due, or repeats what was not read back.
     */
    void act(SimulatedLog log, double nowMillis) {
        long localMillis = local(nowMillis);
        if (outgoing.isEmpty()) {
            plan(localMillis);
        }
        if (!outgoing.isEmpty()) {
            Outgoing first = outgoing.peekFirst();
            log.append(self, first.sequence(), first.entry(), nowMillis);
        }
        surrendered = follow(nowMillis);
    }

    private void plan(long localMillis) {
        if (!member) {
            String address = "a" + index + "-" + lives;
            add(
                    new MemberJoined(
                            new InstanceId("i" + index),
                            new FailureDomain("f"),
                            address,
                            address,
                            fold.appliedOffset() + 1),
                    localMillis);
            return;
        }
        add(new MemberRenewed(fold.appliedOffset(), false), localMillis);
        if (believes(localMillis)) {
            long joined = fold.membership().find(self).map(Member::joinedOffset).orElse(Long.MAX_VALUE);
            watch.ended(self, joined, localMillis).forEach(gone -> add(gone, localMillis));
            PLANNER.plan(fold, self, List.of(), 0).forEach(entry -> add(entry, localMillis));
        }
    }

    private void add(LogEntry entry, long localMillis) {
        nextSequence++;
        outgoing.addLast(new Outgoing(nextSequence, entry));
        if (renews(entry)) {
            lease.sending(nextSequence, localMillis);
        }
    }

    private boolean believes(long localMillis) {
        return member && lease.isHeld(localMillis);
    }

    /**
     * Tells whether this daemon believes to hold the usage duty.
     */
    boolean believesInDuty(double nowMillis) {
        return believes(local(nowMillis))
                && DutyPlanner.heldBy(fold, Duties.USAGE, self).isPresent();
    }

    private List<Surrender> follow(double nowMillis) {
        long promised = witnesses.promisedMillis(self, fold.members(), timing.ttlMillis());
        long end = member ? Math.max(lease.endMillis(), promised) : Long.MIN_VALUE;
        List<Member> seen = fold.members();
        if (variant == Variant.HOME_WITHOUT_ACKNOWLEDGEMENT) {
            seen = seen.stream()
                    .map(each -> each.withRenewal(each.renewedOffset(), Long.MAX_VALUE, false))
                    .toList();
        }
        return limits.update(
                new LimitView(self, seen, accounts, fold.membership().changedOffset(), fold.appliedOffset(), end),
                local(nowMillis));
    }

    /**
     * Answers another daemon's question, as the real one does.
     */
    Witness presence(Incarnation asker, long askedMillis, double nowMillis) {
        boolean evicting = outgoing.stream()
                .anyMatch(sent ->
                        sent.entry() instanceof MemberGone gone && gone.target().equals(asker));
        boolean promised = member && fold.membership().find(asker).isPresent() && !evicting;
        if (promised) {
            watch.promise(asker, local(nowMillis));
        }
        return new Witness(self, fold.appliedOffset(), Long.MIN_VALUE, askedMillis, promised);
    }

    void heard(Witness witness) {
        witnesses.heard(witness);
    }

    Incarnation self() {
        return self;
    }

    Limits limits() {
        return limits;
    }

    List<Surrender> surrendered() {
        return surrendered;
    }

    int position() {
        return position;
    }

    /**
     * A record that was not read back.
     */
    private record Outgoing(long sequence, LogEntry entry) {}
}
