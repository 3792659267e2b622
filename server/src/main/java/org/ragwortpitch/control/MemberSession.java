package org.ragwortpitch.control;

import com.fasterxml.uuid.Generators;
import java.lang.System.Logger;
import java.util.HashSet;
import java.util.Set;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.MemberJoined;
import org.ragwortpitch.controllog.MemberLeft;
import org.ragwortpitch.controllog.MemberRenewed;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.MemberLease;

/**
 * The membership of this daemon. It joins, renews its lease, joins again under a new incarnation after it was evicted,
 * and leaves. Confined to the control thread.
 */
final class MemberSession {

    private static final Logger LOGGER = System.getLogger(MemberSession.class.getName());

    private final MemberIdentity identity;

    private final LeaseTiming timing;

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    private final MemberLease lease;

    /**
     * All incarnations of this process, by which its own records are recognized when they are read back.
     */
    private final Set<Incarnation> ownIncarnations = new HashSet<>();

    private Incarnation incarnation = new Incarnation("");

    /**
     * Whether the join of the current incarnation was read back as accepted and no eviction was read since.
     */
    private boolean member;

    private boolean joining;

    private boolean renewing;

    /**
     * When the last join or renewal was written, of the monotonic clock.
     */
    private long renewedAtMillis;

    private boolean leaving;

    /**
     * Whether the daemon has left and must not join again.
     */
    private boolean left;

    MemberSession(MemberIdentity identity, LeaseTiming timing, ControlStateReducer reducer, LogWriter writer) {
        this.identity = identity;
        this.timing = timing;
        this.reducer = reducer;
        this.writer = writer;
        this.lease = new MemberLease(timing);
    }

    /**
     * Joins, or renews the lease, if that is due.
     *
     * @param headOffset the next offset of the log as far as known
     * @param nowMillis  the time of the monotonic clock
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
     * Joins under a new incarnation. The lease runs from before the record is sent.
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
        lease.recordSending(pending.sequence(), nowMillis);
        renewedAtMillis = nowMillis;
        Incarnation joined = incarnation;
        pending.readBack().thenAccept(readBack -> {
            joining = false;
            member = readBack.result() == ApplyResult.ACCEPTED;
            if (member) {
                lease.recordAccepted(pending.sequence());
            }
            Event.of("member-join")
                    .with("incarnation", joined)
                    .with("verdict", readBack.result())
                    .with("offset", readBack.offset())
                    .info(LOGGER);
        });
    }

    private void renew(long nowMillis) {
        renewing = true;
        renewedAtMillis = nowMillis;
        PendingEntry pending = writer.add(new MemberRenewed(reducer.appliedOffset(), leaving));
        lease.recordSending(pending.sequence(), nowMillis);
        pending.readBack().thenAccept(readBack -> {
            renewing = false;
            if (readBack.result() == ApplyResult.ACCEPTED) {
                lease.recordAccepted(pending.sequence());
            }
        });
    }

    /**
     * Renews the lease at the next tick, so that other members learn at once which records were applied.
     */
    void renewAtNextTick() {
        renewedAtMillis = Math.min(renewedAtMillis, renewedAtMillis - timing.renewMillis());
    }

    /**
     * Announces a graceful shutdown, or leaves.
     *
     * @param request   the request
     * @param nowMillis the time of the monotonic clock
     */
    void handleLeaving(ShutdownStep request, long nowMillis) {
        if (!request.departing()) {
            beginLeaving(nowMillis);
            request.done().complete(true);
        } else if (member) {
            leave().acknowledged().thenAccept(offset -> request.done().complete(true));
        } else {
            request.done().complete(false);
        }
    }

    /**
     * Begins a graceful shutdown and announces it to all members by a renewal.
     */
    private void beginLeaving(long nowMillis) {
        leaving = true;
        if (member) {
            renew(nowMillis);
        }
    }

    /**
     * Leaves. The lease ends before the record is sent, so that this daemon no longer acts as a member when others read
     * it.
     */
    private PendingEntry leave() {
        left = true;
        member = false;
        lease.end();
        return writer.add(new MemberLeft());
    }

    /**
     * Returns whether this daemon may act as a member.
     *
     * @param nowMillis the time of the monotonic clock
     * @return whether it is a member and holds an unexpired lease
     */
    boolean isActiveMember(long nowMillis) {
        return member && lease.isHeld(nowMillis);
    }

    /**
     * Returns whether an incarnation is the current or a former one of this process.
     *
     * @param candidate the incarnation
     * @return whether it is
     */
    boolean isOwn(Incarnation candidate) {
        return ownIncarnations.contains(candidate);
    }

    Incarnation incarnation() {
        return incarnation;
    }

    /**
     * Returns whether this daemon is a member as of the applied log. Its lease may have expired.
     *
     * @return whether it is
     */
    boolean isMember() {
        return member;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns when the lease expires.
     *
     * @return the time of the monotonic clock; {@link Long#MIN_VALUE} without a lease
     */
    long leaseEndMillis() {
        return lease.endMillis();
    }
}
