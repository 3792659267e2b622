package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.JoinAnswer;
import org.ragwortpitch.contract.StoreForm;
import org.ragwortpitch.edge.http.CallAnswer;
import org.ragwortpitch.logging.Event;

/**
 * Joins the group whose holder of one partition has the duties, and has them carried out while this daemon holds them.
 * Confined to the control thread.
 */
final class DutyDesk {

    private static final Logger LOGGER = System.getLogger(DutyDesk.class.getName());

    private static final String GROUP = "duties";

    private static final String TOPIC = "duties";

    /** The partition whose member has the duties. */
    private static final int PARTITION = 0;

    /** How often the membership is renewed, in milliseconds: a third of its time, so that two calls may be lost. */
    private static final long RENEW_MILLIS = 1_000;

    /** How long the store keeps a silent member, in milliseconds. */
    private static final long TTL_MILLIS = 3_000;

    /** How often duties are looked at, in milliseconds; short beside the seconds within which they are due. */
    private static final long STEP_MILLIS = 250;

    private final EventLoop loop;
    private final StoreClient store;
    private final String member;
    private final LongSupplier leaseMillis;
    private final Holding holding;
    private final Duty duty;
    private boolean acting;
    private boolean stopped;

    /**
     * Makes a desk.
     *
     * @param member      names this life of this daemon
     * @param leaseMillis a clock that also counts freezes
     * @param waitMillis  within which holders mustn't take turns, in milliseconds
     * @param fenced      whether fencing tokens are checked
     */
    DutyDesk(
            EventLoop loop,
            StoreClient store,
            String member,
            LongSupplier leaseMillis,
            long waitMillis,
            boolean fenced,
            Duty duty) {
        this.loop = loop;
        this.store = store;
        this.member = member;
        this.leaseMillis = leaseMillis;
        this.holding = new Holding(TTL_MILLIS, waitMillis, fenced, leaseMillis.getAsLong());
        this.duty = duty;
    }

    void start() {
        renew();
        loop.scheduleWithFixedDelay(this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Leaves the group.
     */
    void leave(Runnable done) {
        stopped = true;
        holding.lost();
        store.call(StoreForm.leave(GROUP, member), 0, answer -> done.run(), reason -> done.run());
    }

    private void renew() {
        if (stopped) {
            return;
        }
        long sent = leaseMillis.getAsLong();
        store.call(
                StoreForm.join(GROUP, member, TOPIC, TTL_MILLIS, holding.generation()),
                0,
                answer -> {
                    joined(answer, sent);
                    loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
                },
                reason -> loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void joined(CallAnswer answer, long sentMillis) {
        try {
            if (!answer.isOk()) {
                throw new FormException("joining answered " + answer.status());
            }
            JoinAnswer joined = StoreForm.joinAnswer(answer.body());
            holding.answered(
                    joined.partitions().contains(PARTITION), joined.generation(), sentMillis, leaseMillis.getAsLong());
        } catch (FormException exception) {
            Event.of("join-failed").with("reason", exception.getMessage()).warn(LOGGER);
        }
    }

    private void step() {
        boolean may = !stopped && holding.mayAct(leaseMillis.getAsLong());
        if (may != acting) {
            acting = may;
            Event.of(may ? "duties-taken" : "duties-given-up")
                    .with("fencing-token", holding.fencingToken())
                    .info(LOGGER);
        }
        if (may) {
            duty.step(holding.fencingToken(), this::refused);
        }
    }

    private void refused() {
        Event.of("duties-refused").with("fencing-token", holding.fencingToken()).warn(LOGGER);
        holding.lost();
    }
}
