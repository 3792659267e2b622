package org.ragwortpitch.order;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.OrderClosed;
import org.ragwortpitch.journal.OrderIntended;
import org.ragwortpitch.journal.Verdict;

/**
 * Folds the intents of orders, so that every order that may still be under way is known to whoever comes next.
 *
 * <p>A daemon may be paused between its last check and its write, and write when its successor has long acted. A target
 * that checks fencing numbers refuses that write, so a higher term may order what it likes. A target that does not
 * check gets nothing but repetitions of the identical order until the daemon that may still write has surrendered, or a
 * new process has taken its instance and address. Confined to one thread.
 */
public final class OrderFold {

    /**
     * The open orders by the offset of their intent.
     */
    private final Map<Long, OpenOrder> open = new TreeMap<>();

    /**
     * Takes an intent by the current holder of a duty.
     *
     * @param record   the record, already admitted and its term checked
     * @param instance the writer's instance
     * @param intent   its content
     * @return accepted if no conflicting order may still be under way
     */
    public Verdict intended(LogRecord record, InstanceId instance, OrderIntended intent) {
        if (open.values().stream().anyMatch(other -> blocks(other, intent))) {
            return Verdict.STALE;
        }
        open.values().removeIf(other -> fences(intent, other));
        OpenOrder order =
                new OpenOrder(record.offset(), intent.duty(), intent.term(), record.writer(), instance, intent.order());
        open.put(record.offset(), order);
        return Verdict.ACCEPTED;
    }

    /**
     * Takes the end of an order, as told by its writer or by a later incarnation on the writer's instance.
     *
     * @param record   the record, already admitted
     * @param instance the writer's instance
     * @param close    its content
     * @return accepted if the order is open and the writer may speak for it
     */
    public Verdict closed(LogRecord record, InstanceId instance, OrderClosed close) {
        OpenOrder order = open.get(close.intentOffset());
        if (order == null || !order.writerInstance().equals(instance)) {
            return Verdict.STALE;
        }
        open.remove(close.intentOffset());
        return Verdict.ACCEPTED;
    }

    /**
     * Finds an open order.
     *
     * @param intentOffset the offset of its intent
     * @return the order, if it is open
     */
    public Optional<OpenOrder> find(long intentOffset) {
        return Optional.ofNullable(open.get(intentOffset));
    }

    /**
     * Tells all open orders.
     *
     * @return the orders, oldest first
     */
    public List<OpenOrder> openOrders() {
        return List.copyOf(open.values());
    }

    /**
     * Tells the endpoints that an order may be under way to.
     *
     * @return the endpoints
     */
    public Set<EndpointId> targets() {
        return open.values().stream()
                .map(order -> order.order().target())
                .filter(target -> !target.isEmpty())
                .map(EndpointId::new)
                .collect(Collectors.toSet());
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param restored the open orders
     */
    public void restore(Collection<OpenOrder> restored) {
        open.clear();
        restored.forEach(order -> open.put(order.intentOffset(), order));
    }

    /**
     * Tells whether an open order stands in the way of an intent.
     *
     * @param other  the open order
     * @param intent the intent
     * @return whether it does
     */
    private static boolean blocks(OpenOrder other, OrderIntended intent) {
        Order order = intent.order();
        boolean sameTarget = !order.target().isEmpty() && other.order().target().equals(order.target());
        return sameTarget && !other.order().equals(order) && !fences(intent, other);
    }

    /**
     * Tells whether the target will refuse an open order once it has seen the intended one.
     *
     * @param intent the intent
     * @param other  the open order
     * @return whether it will
     */
    private static boolean fences(OrderIntended intent, OpenOrder other) {
        return intent.order().checksFencing()
                && other.order().target().equals(intent.order().target())
                && other.term() < intent.term();
    }
}
