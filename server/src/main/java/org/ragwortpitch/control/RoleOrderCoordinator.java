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
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.OrderClosed;
import org.ragwortpitch.controllog.OrderIntended;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.endpoint.EngineOrder;
import org.ragwortpitch.fleet.EndpointReport;
import org.ragwortpitch.fleet.RolePlanner;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.order.OrderOutcome;
import org.ragwortpitch.order.RoleOrder;

/**
 * Orders engines into the roles that the rules require, while this daemon holds the fleet duty of a pool. Each order is
 * first written to the log as an intent, whereupon all daemons stop sending requests to the engine. It is sent once the
 * engine is idle, and resent unchanged until the engine answers. Confined to the control thread.
 */
final class RoleOrderCoordinator {

    private static final Logger LOGGER = System.getLogger(RoleOrderCoordinator.class.getName());

    /**
     * Maximum time that an engine has to become idle before the order is sent regardless, in milliseconds.
     */
    private static final long MAX_DRAIN_MILLIS = 30_000;

    /**
     * Minimum time between the first sight of an order and sending it to an idle engine, in milliseconds. An unanswered
     * order is resent after twice this time.
     */
    private static final long SETTLE_MILLIS = 1_000;

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    private final MemberSession session;

    private final OrderSender sender;

    private final Map<EndpointId, EndpointReport> latestReports = new HashMap<>();

    /**
     * When each open order of this daemon was first seen, by the offset of its intent.
     */
    private final Map<Long, Long> firstSeenMillis = new HashMap<>();

    /**
     * When each open order of this daemon is next sent, by the offset of its intent.
     */
    private final Map<Long, Long> nextSendMillis = new HashMap<>();

    /**
     * The intent offsets of the orders that were sent to an engine, which has not answered.
     */
    private final Set<Long> unanswered = new HashSet<>();

    RoleOrderCoordinator(ControlStateReducer reducer, LogWriter writer, MemberSession session, OrderSender sender) {
        this.reducer = reducer;
        this.writer = writer;
        this.session = session;
        this.sender = sender;
    }

    void handleReport(EndpointReported reported) {
        boolean busy = reported.report().running() + reported.report().queued() > 0;
        EndpointReport report =
                new EndpointReport(reported.endpoint(), reported.report().role(), busy);
        latestReports.put(reported.endpoint(), report);
    }

    /**
     * Sends the orders that are due and writes new intents. The caller must have checked the lease just before.
     *
     * @param rules     the rules in force
     * @param nowMillis the time of the monotonic clock
     */
    void tick(Configuration rules, long nowMillis) {
        closeOrdersOfFormerIncarnations();
        for (PoolRule pool : rules.pools()) {
            DutyPlanner.heldBy(reducer, Duties.fleet(pool.id()), session.incarnation())
                    .ifPresent(held -> issueOrders(rules, pool, held, nowMillis));
        }
    }

    /**
     * Sends the due orders of a pool; if this daemon has no open order of the term and no pending intent, writes the
     * next intent.
     */
    private void issueOrders(Configuration rules, PoolRule pool, DutyTerm held, long nowMillis) {
        List<OpenOrder> ownOrders = reducer.orders().openOrders().stream()
                .filter(open -> open.writer().equals(session.incarnation()) && open.term() == held.term())
                .toList();
        for (OpenOrder open : ownOrders) {
            rules.endpoint(new EndpointId(open.order().target()))
                    .ifPresent(endpoint -> sendIfDue(endpoint, open, nowMillis));
        }
        boolean intentPending = writer.hasPending(
                entry -> entry instanceof OrderIntended intent && intent.duty().equals(held.duty()));
        if (!ownOrders.isEmpty() || intentPending) {
            return;
        }
        Optional<RoleOrder> next = RolePlanner.next(
                rules.endpointsOf(pool.id()), latestReports, reducer.orders().openOrders());
        next.ifPresent(order -> writer.add(new OrderIntended(held.duty(), held.term(), order)));
    }

    /**
     * Sends an order once its engine is idle or the time to drain has passed, and again until it is answered.
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
     * Handles the outcome of an order. An order without a known outcome stays open and is resent.
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
     * Closes open orders of former incarnations on this instance as never sent. A former process at this address has
     * ended. Orders that a former incarnation of this process sent, and that are unanswered, stay open.
     */
    private void closeOrdersOfFormerIncarnations() {
        Optional<Member> self = reducer.membership().find(session.incarnation());
        for (OpenOrder open : reducer.orders().openOrders()) {
            boolean byFormerIncarnation = self.isPresent()
                    && open.writerInstance().equals(self.get().instance())
                    && !open.writer().equals(session.incarnation());
            boolean closePending = writer.hasPending(
                    entry -> entry instanceof OrderClosed close && close.intentOffset() == open.intentOffset());
            if (byFormerIncarnation && !closePending && !unanswered.contains(open.intentOffset())) {
                writer.add(new OrderClosed(open.intentOffset(), OrderOutcome.NEVER_WRITTEN));
            }
        }
    }
}
