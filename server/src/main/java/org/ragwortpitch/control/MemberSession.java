package org.ragwortpitch.control;

import com.fasterxml.uuid.Generators;
import java.lang.System.Logger;
import java.util.HashSet;
import java.util.Set;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.MemberJoined;
import org.ragwortpitch.journal.MemberLeft;
import org.ragwortpitch.journal.MemberRenewed;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.MemberLease;

/**
 * This daemon's membership: it joins, renews its lease, joins anew under another incarnation if it was declared gone,
 * and leaves. Confined to the control thread.
 */
final class MemberSession {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(MemberSession.class.getName());

    /**
     * What the daemon tells of itself.
     */
    private final MemberIdentity identity;

    /**
     * The times of the lease.
     */
    private final LeaseTiming timing;

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * The lease.
     */
    private final MemberLease lease;

    /**
     * All incarnations that this process has had.
     */
    private final Set<Incarnation> ownIncarnations = new HashSet<>();

    /**
     * The present incarnation.
     */
    private Incarnation incarnation = new Incarnation("");

    /**
     * Whether the present incarnation was read to be a member.
     */
    private boolean member;

    /**
     * Whether a join is under way.
     */
    private boolean joining;

    /**
     * Whether a renewal is under way.
     */
    private boolean renewing;

    /**
     * When the last renewal was begun, of the monotonic clock.
     */
    private long renewedAtMillis;

    /**
     * Whether a graceful shutdown has begun.
     */
    private boolean leaving;

    /**
     * Whether the daemon has left for good.
     */
    private boolean left;

    /**
     * Makes a session that has not joined.
     *
     * @param identity what the daemon tells of itself
     * @param timing   the times of the lease
     * @param fold     the log as applied
     * @param writer   writes to the log
     */
    MemberSession(MemberIdentity identity, LeaseTiming timing, ControlFold fold, LogWriter writer) {
        this.identity = identity;
        this.timing = timing;
        this.reducer = fold;
        this.writer = writer;
        this.lease = new MemberLease(timing);
    }

    /**
     * Joins or renews if it is time.
     *
     * @param headOffset the next offset of the log as far as known
     * @param nowMillis  the present time, of the monotonic clock
     */
    void tick(long headOffset, long nowMillis) {
        if (left) {
            return;
        }
        if (member && reducer.membership().find(incarnation).isEmpty()) {
            Event.of("member-evicted").with("incarnation", incarnation).warn(LOGGER);
            member = false;
            renewing = false;
            lease.end();
        }
        if (!member && !joining && !leaving) {
            join(headOffset, nowMillis);
        } else if (member && !renewing && nowMillis - renewedAtMillis >= timing.renewMillis()) {
            renew(nowMillis);
        }
    }

    /**
     * Joins under a new incarnation.
     *
     * @param headOffset the next offset of the log as far as known
     * @param nowMillis  the present time, of the monotonic clock
     */
    private void join(long headOffset, long nowMillis) {
        incarnation = new Incarnation(
                Generators.timeBasedEpochRandomGenerator().generate().toString());
        ownIncarnations.add(incarnation);
        joining = true;
        PendingEntry pending = writer.add(new MemberJoined(
                identity.instance(),
                identity.failureDomain(),
                identity.callerAddress(),
                identity.peerAddress(),
                headOffset));
        lease.sending(pending.sequence(), nowMillis);
        renewedAtMillis = nowMillis;
        Incarnation joined = incarnation;
        pending.readBack().thenAccept(readBack -> {
            joining = false;
            member = readBack.verdict() == Verdict.ACCEPTED;
            if (member) {
                lease.accepted(pending.sequence());
            }
            Event.of("member-join")
                    .with("incarnation", joined)
                    .with("verdict", readBack.verdict())
                    .with("offset", readBack.offset())
                    .info(LOGGER);
        });
    }

    /**
     * Renews the lease.
     *
     * @param nowMillis the present time, of the monotonic clock
     */
    private void renew(long nowMillis) {
        renewing = true;
        renewedAtMillis = nowMillis;
        PendingEntry pending = writer.add(new MemberRenewed(reducer.appliedOffset(), leaving));
        lease.sending(pending.sequence(), nowMillis);
        pending.readBack().thenAccept(readBack -> {
            renewing = false;
            if (readBack.verdict() == Verdict.ACCEPTED) {
                lease.accepted(pending.sequence());
            }
        });
    }

    /**
     * Renews the lease at the next occasion, so that others learn at once what was applied.
     */
    void renewAtNextTick() {
        renewedAtMillis = Math.min(renewedAtMillis, renewedAtMillis - timing.renewMillis());
    }

    /**
     * Begins to leave, or leaves.
     *
     * @param request   the wish
     * @param nowMillis the present time, of the monotonic clock
     */
    void handleLeaving(BeginLeaving request, long nowMillis) {
        if (!request.last()) {
            beginLeaving(nowMillis);
            request.done().complete(true);
        } else if (member) {
            leave().acknowledged().thenAccept(offset -> request.done().complete(true));
        } else {
            request.done().complete(false);
        }
    }

    /**
     * Begins a graceful shutdown, which the next renewal tells all members.
     *
     * @param nowMillis the present time, of the monotonic clock
     */
    private void beginLeaving(long nowMillis) {
        leaving = true;
        if (member) {
            renew(nowMillis);
        }
    }

    /**
     * Leaves. The daemon stops to believe before the record is sent.
     *
     * @return the record on its way
     */
    private PendingEntry leave() {
        left = true;
        member = false;
        lease.end();
        return writer.add(new MemberLeft());
    }

    /**
     * Tells whether this daemon may act as a member.
     *
     * @param nowMillis the present time, of the monotonic clock
     * @return whether it is one and holds its lease
     */
    boolean isActiveMember(long nowMillis) {
        return member && lease.isHeld(nowMillis);
    }

    /**
     * Tells whether an incarnation is or was this process's.
     *
     * @param candidate the incarnation
     * @return whether it is
     */
    boolean isOwn(Incarnation candidate) {
        return ownIncarnations.contains(candidate);
    }

    /**
     * Tells the present incarnation.
     *
     * @return the incarnation
     */
    Incarnation incarnation() {
        return incarnation;
    }

    /**
     * Tells whether the daemon is a member as far as it has read.
     *
     * @return whether it is
     */
    boolean isMember() {
        return member;
    }

    /**
     * Tells whether a graceful shutdown has begun.
     *
     * @return whether it has
     */
    boolean isLeaving() {
        return leaving;
    }

    /**
     * Tells when the lease ends.
     *
     * @return the end, of the monotonic clock
     */
    long leaseEndMillis() {
        return lease.endMillis();
    }
}
