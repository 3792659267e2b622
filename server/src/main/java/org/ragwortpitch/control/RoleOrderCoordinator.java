package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.endpoint.EngineOrder;
import org.ragwortpitch.fleet.EndpointReport;
import org.ragwortpitch.fleet.RolePlanner;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.OrderClosed;
import org.ragwortpitch.journal.OrderIntended;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.order.OrderOutcome;
import org.ragwortpitch.order.RoleOrder;

/**
 * Orders engines to the roles that the rules want, while this daemon holds a pool's fleet duty. Each order is an intent
 * in the log first, at which all daemons stop to send requests to the engine; it is sent once the engine is idle, and
 * repeated as it is until it is answered. Confined to the control thread.
 */
final class RoleOrderCoordinator {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(RoleOrderCoordinator.class.getName());

    /**
     * How long an engine may take to become idle before it is ordered all the same, in milliseconds.
     */
    private static final long MAX_DRAIN_MILLIS = 30_000;

    /**
     * How long to wait before an unanswered order is repeated, in milliseconds.
     */
    private static final long SETTLE_MILLIS = 1_000;

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * This daemon's membership.
     */
    private final MemberSession session;

    /**
     * Sends orders.
     */
    private final OrderSender sender;

    /**
     * What engines have told.
     */
    private final Map<EndpointId, EndpointReport> latestReports = new HashMap<>();

    /**
     * When each open order of this daemon was first seen.
     */
    private final Map<Long, Long> firstSeenMillis = new HashMap<>();

    /**
     * When each open order of this daemon is to be sent again.
     */
    private final Map<Long, Long> nextSendMillis = new HashMap<>();

    /**
     * The orders that were written to an engine and not answered.
     */
    private final Set<Long> unanswered = new HashSet<>();

    /**
     * Makes a desk that has heard of no engine.
     *
     * @param fold    the log as applied
     * @param writer  writes to the log
     * @param session this daemon's membership
     * @param sender  sends orders
     */
    RoleOrderCoordinator(ControlFold fold, LogWriter writer, MemberSession session, OrderSender sender) {
        this.reducer = fold;
        this.writer = writer;
        this.session = session;
        this.sender = sender;
    }

    /**
     * Takes what an engine has told.
     *
     * @param reported the report
     */
    void handleReport(EndpointReported reported) {
        boolean busy = reported.report().running() + reported.report().queued() > 0;
        EndpointReport report =
                new EndpointReport(reported.endpoint(), reported.report().role(), busy);
        latestReports.put(reported.endpoint(), report);
    }

    /**
     * Gives the orders that are due. The caller has checked the lease just before.
     *
     * @param rules     the rules in force
     * @param nowMillis the present time, of the monotonic clock
     */
    void tick(Configuration rules, long nowMillis) {
        closeOrdersOfFormerIncarnations();
        for (PoolRule pool : rules.pools()) {
            DutyPlanner.heldBy(reducer, Duties.fleet(pool.id()), session.incarnation())
                    .ifPresent(held -> issueOrders(rules, pool, held, nowMillis));
        }
    }

    /**
     * Gives the orders of a pool that are due.
     *
     * @param rules     the rules in force
     * @param pool      the pool
     * @param held      the duty
     * @param nowMillis the present time, of the monotonic clock
     */
    private void issueOrders(Configuration rules, PoolRule pool, DutyTerm held, long nowMillis) {
        List<OpenOrder> mine = reducer.orders().openOrders().stream()
                .filter(open -> open.writer().equals(session.incarnation()) && open.term() == held.term())
                .toList();
        for (OpenOrder open : mine) {
            rules.endpoint(new EndpointId(open.order().target()))
                    .ifPresent(endpoint -> sendIfDue(endpoint, open, nowMillis));
        }
        boolean intending = writer.hasPending(
                entry -> entry instanceof OrderIntended intent && intent.duty().equals(held.duty()));
        if (!mine.isEmpty() || intending) {
            return;
        }
        Optional<RoleOrder> next = RolePlanner.next(
                rules.endpointsOf(pool.id()), latestReports, reducer.orders().openOrders());
        next.ifPresent(order -> writer.add(new OrderIntended(held.duty(), held.term(), order)));
    }

    /**
     * Sends an order once its engine is idle, and again while it is not answered.
     *
     * @param endpoint  the engine
     * @param open      the order
     * @param nowMillis the present time, of the monotonic clock
     */
    private void sendIfDue(EndpointRule endpoint, OpenOrder open, long nowMillis) {
        long seen = firstSeenMillis.computeIfAbsent(open.intentOffset(), offset -> nowMillis);
        EndpointReport report = latestReports.get(endpoint.id());
        boolean idle = report != null && !report.busy() && nowMillis - seen >= SETTLE_MILLIS;
        boolean due = nowMillis >= nextSendMillis.getOrDefault(open.intentOffset(), Long.MIN_VALUE);
        boolean drained = idle || nowMillis - seen >= MAX_DRAIN_MILLIS || unanswered.contains(open.intentOffset());
        if (!due || !drained || !(open.order() instanceof RoleOrder order)) {
            return;
        }
        nextSendMillis.put(open.intentOffset(), nowMillis + 2 * SETTLE_MILLIS);
        unanswered.add(open.intentOffset());
        String role = order.role().name().toLowerCase(Locale.ROOT);
        sender.send(endpoint, new EngineOrder(open.term(), open.intentOffset(), "role", role));
        Event.of("order-sent")
                .with("endpoint", endpoint.id())
                .with("role", role)
                .with("term", open.term())
                .with("intent", open.intentOffset())
                .info(LOGGER);
    }

    /**
     * Takes an engine's answer, or that there was none.
     *
     * @param answered the answer
     */
    void handleAnswer(OrderAnswered answered) {
        if (answered.outcome() != null && unanswered.remove(answered.intentOffset())) {
            firstSeenMillis.remove(answered.intentOffset());
            nextSendMillis.remove(answered.intentOffset());
            writer.add(new OrderClosed(answered.intentOffset(), answered.outcome()));
        }
    }

    /**
     * Closes the orders of former incarnations on this instance. A former process at this address has ended; a former
     * incarnation of this process has written them or not, and those not answered stay open.
     */
    private void closeOrdersOfFormerIncarnations() {
        Optional<Member> self = reducer.membership().find(session.incarnation());
        for (OpenOrder open : reducer.orders().openOrders()) {
            boolean former = self.isPresent()
                    && open.writerInstance().equals(self.get().instance())
                    && !open.writer().equals(session.incarnation());
            boolean closing = writer.hasPending(
                    entry -> entry instanceof OrderClosed close && close.intentOffset() == open.intentOffset());
            if (former && !closing && !unanswered.contains(open.intentOffset())) {
                writer.add(new OrderClosed(open.intentOffset(), OrderOutcome.NEVER_WRITTEN));
            }
        }
    }
}
