package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.GroupAssignment;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.duty.DutyLease;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.logging.Event;

/**
 * Joins the consumer group whose member that is assigned a certain partition holds the duties, and runs them while this
 * daemon is that member. Confined to the control thread.
 */
final class DutyRunner {

    private static final Logger LOGGER = System.getLogger(DutyRunner.class.getName());

    static final String GROUP = "duties";

    private static final String TOPIC = "duties";

    /** The partition whose assigned member holds the duties. */
    private static final int PARTITION = 0;

    /** Heartbeat interval of the membership, in milliseconds: a third of its TTL, so that two calls may be lost. */
    private static final long RENEW_MILLIS = 1_000;

    /** Time after which the store expires a silent member, in milliseconds. */
    private static final long TTL_MILLIS = 3_000;

    /** Interval between steps of the duties, in milliseconds; short compared to their deadlines of seconds. */
    private static final long STEP_MILLIS = 250;

    private final EventLoop loop;
    private final StoreClient store;
    private final String member;
    private final LongSupplier leaseMillis;
    private final DutyLease lease;
    private final boolean fenced;
    private final FencingTokens tokens;
    private final HolderRecords holders;
    private final Function<String, OptionalLong> endedMillis;
    private final Duty duty;
    private final Runnable onLeaveFailed;
    private boolean acting;
    private boolean stopped;
    private boolean suspended = true;
    /** Whether this member may be in the group. */
    private boolean joined;

    private boolean joining;
    private ScheduledFuture<?> nextRenewal;

    /**
     * Creates a runner that joins the group once it is started and no longer suspended.
     *
     * @param member      unique name of this incarnation of the daemon
     * @param leaseMillis a clock that also counts the time for which the instance was frozen
     * @param waitMillis  shortest time between actions of two alternating holders, in milliseconds
     * @param fenced      whether the platform checks fencing tokens
     */
    DutyRunner(
            EventLoop loop,
            StoreClient store,
            String member,
            LongSupplier leaseMillis,
            long waitMillis,
            boolean fenced,
            Duty duty,
            Runnable onLeaveFailed,
            Function<String, OptionalLong> endedMillis) {
        this.loop = loop;
        this.store = store;
        this.member = member;
        this.leaseMillis = leaseMillis;
        this.lease = new DutyLease(TTL_MILLIS, waitMillis, fenced, leaseMillis.getAsLong());
        this.fenced = fenced;
        this.tokens = new FencingTokens(store, this::step);
        this.holders = new HolderRecords(store, member, this::step);
        this.duty = duty;
        this.onLeaveFailed = onLeaveFailed;
        this.endedMillis = endedMillis;
        store.onRestored(lease::forget);
    }

    void start() {
        renew();
        FaultBarrier.schedule(loop, "duties", STEP_MILLIS, this::step);
    }

    /**
     * Sets the shortest time between actions of two alternating holders, in milliseconds.
     */
    void configure(long waitMillis) {
        lease.configure(waitMillis);
    }

    /**
     * Releases the duties and leaves the group.
     *
     * @param done called once the store has answered or the call has failed
     */
    void leave(Runnable done) {
        stopped = true;
        leaveGroup(done);
    }

    /**
     * Releases the duties and stays out of the group until called again, as another daemon can carry them out better.
     */
    void suspend(boolean nowSuspended) {
        if (!stopped && nowSuspended != suspended) {
            suspended = nowSuspended;
            if (suspended) {
                leaveGroup(() -> {});
            }
        }
    }

    private void leaveGroup(Runnable done) {
        lease.release();
        if (!joined || joining) {
            // A join that is under way is followed by another call of this method.
            done.run();
            return;
        }
        joined = false;
        lease.leaveSent();
        long sent = leaseMillis.getAsLong();
        store.call(
                StoreCodec.leave(GROUP, member),
                0,
                response -> {
                    lease.leaveAnswered(leaseMillis.getAsLong());
                    done.run();
                },
                reason -> {
                    joined = true;
                    lease.leaveUnanswered(sent);
                    onLeaveUnanswered();
                    done.run();
                });
        if (stopped && !store.isReachable()) {
            onLeaveFailed.run();
        }
    }

    private void onLeaveUnanswered() {
        if (stopped) {
            onLeaveFailed.run();
        } else {
            store.retry(() -> {
                if (suspended || stopped) {
                    leaveGroup(() -> {});
                }
            });
        }
    }

    /**
     * Renews the membership ahead of schedule, as another member has left the group.
     */
    void renewSoon() {
        if (nextRenewal != null && nextRenewal.cancel(false)) {
            renew();
        }
    }

    private void scheduleRenewal() {
        nextRenewal = loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        nextRenewal = null;
        if (stopped) {
            return;
        }
        if (suspended) {
            scheduleRenewal();
            return;
        }
        joined = true;
        joining = true;
        long sent = leaseMillis.getAsLong();
        store.call(
                StoreCodec.join(GROUP, member, TOPIC, TTL_MILLIS, lease.generation()),
                0,
                response -> {
                    scheduleRenewal();
                    onJoinEnded();
                    if (!stopped && !suspended) {
                        onJoined(response, sent);
                    }
                },
                reason -> {
                    store.retry(this::renew);
                    onJoinEnded();
                });
    }

    /** Leaves the group if this was called for while a join was under way, which might undo it. */
    private void onJoinEnded() {
        joining = false;
        if (stopped || suspended) {
            leaveGroup(() -> {});
        }
    }

    private void onJoined(CallResponse response, long sentMillis) {
        try {
            if (!response.isOk()) {
                throw new CodecException("join returned status " + response.status());
            }
            GroupAssignment assignment = StoreCodec.groupAssignment(response.body());
            lease.onJoined(
                    assignment.partitions().contains(PARTITION),
                    assignment.generation(),
                    sentMillis,
                    leaseMillis.getAsLong());
            step();
        } catch (CodecException exception) {
            Event.of("join-failed").with("reason", exception.getMessage()).warn(LOGGER);
        }
    }

    private void step() {
        OptionalLong token = actingToken();
        if (token.isPresent() != acting) {
            acting = token.isPresent();
            Event.of(acting ? "duties-taken" : "duties-given-up")
                    .with("generation", lease.generation())
                    .with("fencing-token", token.isPresent() ? token.getAsLong() : "-")
                    .info(LOGGER);
        }
        token.ifPresent(known -> duty.step(new Tenure(known)));
    }

    /** Returns the token under which this daemon may act now; empty if it may not. */
    private OptionalLong actingToken() {
        long now = leaseMillis.getAsLong();
        if (stopped || suspended || !lease.isHeld(now)) {
            return OptionalLong.empty();
        }
        OptionalLong token = tokens.token(lease.generation());
        if (token.isEmpty() || !fenced && !isRecorded(token.getAsLong())) {
            return OptionalLong.empty();
        }
        return lease.mayAct(now) ? token : OptionalLong.empty();
    }

    private boolean isRecorded(long token) {
        if (!holders.isRecorded(token)) {
            return false;
        }
        holders.predecessor().filter(holder -> holder.isJustBefore(token)).ifPresent(holder -> endedMillis
                .apply(holder.member())
                .ifPresent(ended -> lease.predecessorEnded(ended, isSameDaemon(holder.member()))));
        return true;
    }

    /** Names of members end with the start time of the daemon's incarnation. */
    private boolean isSameDaemon(String other) {
        return other.substring(0, Math.max(0, other.lastIndexOf('-')))
                .equals(member.substring(0, member.lastIndexOf('-')));
    }

    /**
     * The tenure of this daemon under one token.
     */
    private final class Tenure implements DutyTenure {

        private final long token;

        Tenure(long token) {
            this.token = token;
        }

        @Override
        public long fencingToken() {
            return token;
        }

        @Override
        public boolean mayAct() {
            return actingToken().equals(OptionalLong.of(token));
        }

        @Override
        public void refused() {
            Event.of("duties-refused").with("fencing-token", token).warn(LOGGER);
            lease.release();
        }
    }
}
