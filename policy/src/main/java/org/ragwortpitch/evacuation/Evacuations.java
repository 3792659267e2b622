package org.ragwortpitch.evacuation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.FailureDomain;

/**
 * The evacuations that a daemon knows: for each failure domain the order with the highest position, whoever reported it
 * and in whatever order the reports arrive. Immutable.
 */
public final class Evacuations {

    /** No order is known, and the topic was not loaded. */
    public static final Evacuations NONE = new Evacuations(Map.of(), new StorePosition(-1, -1));

    private final Map<FailureDomain, EvacuationOrder> orders;
    private final StorePosition loadedUpTo;

    private Evacuations(Map<FailureDomain, EvacuationOrder> orders, StorePosition loadedUpTo) {
        this.orders = Map.copyOf(orders);
        this.loadedUpTo = loadedUpTo;
    }

    /**
     * Returns the evacuations after an order was reported. An evacuation from before the end of a load that lacked it
     * counts as cancelled there, so that a late report doesn't revive it.
     */
    public Evacuations with(EvacuationOrder reported) {
        EvacuationOrder known = orders.get(reported.domain());
        if (known != null && !reported.replaces(known)) {
            return this;
        }
        boolean outdated = reported.active() && reported.position().isBefore(loadedUpTo);
        return replace(outdated ? cancelled(reported.domain(), loadedUpTo) : reported);
    }

    /**
     * Returns the evacuations after a load of the topic: those that are known from before its end and that it lacks are
     * cancelled at its end.
     *
     * @param end   the end of the load, which is the offset of the next record
     * @param found the evacuations that the load has
     */
    public Evacuations load(StorePosition end, Collection<EvacuationOrder> found) {
        if (end.isBefore(loadedUpTo)) {
            return this;
        }
        Set<FailureDomain> present = found.stream().map(EvacuationOrder::domain).collect(Collectors.toSet());
        Evacuations loaded = this;
        for (EvacuationOrder order : found) {
            EvacuationOrder known = loaded.orders.get(order.domain());
            loaded = known == null || order.replaces(known) ? loaded.replace(order) : loaded;
        }
        for (EvacuationOrder order : orders.values()) {
            if (order.active() && order.position().isBefore(end) && !present.contains(order.domain())) {
                loaded = loaded.replace(cancelled(order.domain(), end));
            }
        }
        return new Evacuations(loaded.orders, end);
    }

    /**
     * Returns what two threads of a daemon know together.
     */
    public Evacuations merge(Evacuations other) {
        if (other.loadedUpTo.isBefore(loadedUpTo)) {
            return other.merge(this);
        }
        Evacuations merged = other;
        for (EvacuationOrder order : orders.values()) {
            merged = merged.with(order);
        }
        return merged;
    }

    /**
     * Returns whether a domain is evacuated.
     */
    public boolean isEvacuated(FailureDomain domain) {
        EvacuationOrder order = orders.get(domain);
        return order != null && order.active();
    }

    /**
     * Returns the evacuated domains.
     */
    public Set<FailureDomain> domains() {
        return orders.values().stream()
                .filter(EvacuationOrder::active)
                .map(EvacuationOrder::domain)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the latest order for each domain, cancellations included, the newest first.
     */
    public List<EvacuationOrder> orders() {
        return orders.values().stream()
                .sorted(Comparator.comparing(EvacuationOrder::position)
                        .reversed()
                        .thenComparing(EvacuationOrder::domain))
                .toList();
    }

    /**
     * Returns the orders that differ from those before, the oldest first.
     */
    public List<EvacuationOrder> changesSince(Evacuations before) {
        return orders.values().stream()
                .filter(order -> !order.equals(before.orders.get(order.domain())))
                .sorted(Comparator.comparing(EvacuationOrder::position).thenComparing(EvacuationOrder::domain))
                .toList();
    }

    /**
     * Returns whether an order makes a difference to what was known before: it evacuates a domain that was not, or
     * cancels an evacuation that was in force or unknown.
     */
    public boolean isChangedBy(EvacuationOrder order) {
        EvacuationOrder known = orders.get(order.domain());
        return known == null || known.active() != order.active();
    }

    private Evacuations replace(EvacuationOrder order) {
        Map<FailureDomain, EvacuationOrder> next = new HashMap<>(orders);
        next.put(order.domain(), order);
        return new Evacuations(next, loadedUpTo);
    }

    private static EvacuationOrder cancelled(FailureDomain domain, StorePosition at) {
        return new EvacuationOrder(domain, at, false);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Evacuations evacuations
                && orders.equals(evacuations.orders)
                && loadedUpTo.equals(evacuations.loadedUpTo);
    }

    @Override
    public int hashCode() {
        return orders.hashCode() * 31 + loadedUpTo.hashCode();
    }

    @Override
    public String toString() {
        return orders() + " loaded up to " + loadedUpTo;
    }
}
