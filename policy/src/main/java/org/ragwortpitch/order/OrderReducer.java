package org.ragwortpitch.order;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.OrderClosed;
import org.ragwortpitch.controllog.OrderIntended;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Reduces order intents from the log to the set of orders that may still be in flight, so that the next holder of a
 * duty knows all of them.
 *
 * <p>A daemon may pause between its last lease check and its write, and write long after its successor has acted. A
 * target that checks fencing tokens rejects such a write, so a holder with a higher term may issue any order. A target
 * that does not check them receives only repetitions of the identical order until the daemon that may still write has
 * closed its order, or a new process has taken over its instance and address. Confined to one thread.
 */
public final class OrderReducer {

    /**
     * Open orders by the log offset of their intent.
     */
    private final Map<Long, OpenOrder> open = new TreeMap<>();

    /**
     * Applies an intent written by the current holder of a duty. An accepted intent removes the open orders that it
     * fences off.
     *
     * @param record   the record, whose writer is a member and holds the duty under the intent's term
     * @param instance the instance of the record's writer
     * @param intent   the record's content
     * @return accepted unless a conflicting order may still be in flight
     */
    public ApplyResult applyIntent(LogRecord record, InstanceId instance, OrderIntended intent) {
        if (open.values().stream().anyMatch(other -> blocks(other, intent))) {
            return ApplyResult.STALE;
        }
        open.values().removeIf(other -> fences(intent, other));
        OpenOrder order =
                new OpenOrder(record.offset(), intent.duty(), intent.term(), record.writer(), instance, intent.order());
        open.put(record.offset(), order);
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies the completion of an order. It may be written by the order's writer or by a later incarnation on the
     * same instance.
     *
     * @param record   the record, whose writer is a member
     * @param instance the instance of the record's writer
     * @param close    the record's content
     * @return accepted if the order is open and was written from the same instance
     */
    public ApplyResult applyClose(LogRecord record, InstanceId instance, OrderClosed close) {
        OpenOrder order = open.get(close.intentOffset());
        if (order == null || !order.writerInstance().equals(instance)) {
            return ApplyResult.STALE;
        }
        open.remove(close.intentOffset());
        return ApplyResult.ACCEPTED;
    }

    /**
     * Returns an open order.
     *
     * @param intentOffset the log offset of its intent
     * @return the order, or empty if it is not open
     */
    public Optional<OpenOrder> find(long intentOffset) {
        return Optional.ofNullable(open.get(intentOffset));
    }

    /**
     * Returns all open orders.
     *
     * @return an immutable copy, in the order of their intents' offsets
     */
    public List<OpenOrder> openOrders() {
        return List.copyOf(open.values());
    }

    /**
     * Returns the endpoints to which an order may be in flight.
     */
    public Set<EndpointId> targets() {
        return open.values().stream()
                .map(order -> order.order().target())
                .filter(target -> !target.isEmpty())
                .map(EndpointId::new)
                .collect(Collectors.toSet());
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param restored the checkpoint's open orders
     */
    public void restore(Collection<OpenOrder> restored) {
        open.clear();
        restored.forEach(order -> open.put(order.intentOffset(), order));
    }

    /**
     * Returns whether an open order conflicts with an intent that does not fence it off.
     */
    private static boolean blocks(OpenOrder other, OrderIntended intent) {
        Order order = intent.order();
        boolean sameTarget = !order.target().isEmpty() && other.order().target().equals(order.target());
        return sameTarget && !other.order().equals(order) && !fences(intent, other);
    }

    /**
     * Returns whether the target rejects an open order once it has received the intended one.
     */
    private static boolean fences(OrderIntended intent, OpenOrder other) {
        return intent.order().checksFencing()
                && other.order().target().equals(intent.order().target())
                && other.term() < intent.term();
    }
}
