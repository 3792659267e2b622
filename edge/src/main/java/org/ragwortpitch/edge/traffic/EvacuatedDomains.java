package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * The evacuations that the traffic thread obeys, with their log. Confined to the traffic thread.
 */
final class EvacuatedDomains {

    private static final Logger LOGGER = System.getLogger(EvacuatedDomains.class.getName());

    private final Map<FailureDomain, Long> cancelledMillis = new HashMap<>();
    private final Set<FailureDomain> loggedUnknown = new HashSet<>();
    private Set<FailureDomain> known = Set.of();
    private long coldMillis = -1;
    private Evacuations current = Evacuations.NONE;

    Evacuations current() {
        return current;
    }

    boolean isEvacuated(EndpointState state) {
        return current.isEvacuated(state.endpoint().domain());
    }

    /**
     * Adds evacuations that were reported.
     *
     * @param source who reported them, for the log
     * @return whether any was new
     */
    boolean update(Evacuations reported, String source, long nowMillis) {
        Evacuations next = current.merge(reported);
        if (next.equals(current)) {
            return false;
        }
        for (EvacuationOrder order : next.changesSince(current)) {
            if (current.isChangedBy(order)) {
                log(order, source);
                if (order.active()) {
                    cancelledMillis.remove(order.domain());
                } else {
                    cancelledMillis.put(order.domain(), nowMillis);
                }
            }
        }
        current = next;
        logUnknown();
        return true;
    }

    /**
     * Checks the evacuated domains against a new configuration and listing.
     */
    void check(Deployment deployment, Collection<EndpointState> listed) {
        coldMillis = deployment.pools().stream()
                .flatMap(pool -> pool.coldStart().stream())
                .mapToLong(ColdStart::durationMillis)
                .max()
                .orElse(0);
        Set<FailureDomain> domains =
                listed.stream().map(state -> state.endpoint().domain()).collect(Collectors.toSet());
        deployment.pools().stream()
                .flatMap(pool -> pool.scaling().stream())
                .forEach(spec -> domains.addAll(spec.prices().keySet()));
        known = domains;
        logUnknown();
    }

    /**
     * Returns until when the endpoints of domains whose evacuation was cancelled may be cold, once the configuration
     * tells how long they are: they may have become cold unannounced meanwhile. Each cancellation is returned once.
     */
    Map<FailureDomain, Long> drainCancelled() {
        if (coldMillis < 0) {
            return Map.of();
        }
        Map<FailureDomain, Long> untilMillis = new HashMap<>();
        if (coldMillis > 0) {
            cancelledMillis.forEach((domain, millis) -> untilMillis.put(domain, millis + coldMillis));
        }
        cancelledMillis.clear();
        return untilMillis;
    }

    /**
     * Logs each evacuated domain once that no endpoint is listed in and the configuration doesn't name. It stays
     * evacuated, as endpoints may appear in it.
     */
    private void logUnknown() {
        if (known.isEmpty()) {
            return;
        }
        for (FailureDomain domain : current.domains()) {
            if (!known.contains(domain) && loggedUnknown.add(domain)) {
                Event.of("evacuation-unknown-domain")
                        .with("domain", domain)
                        .with("known", names(known))
                        .with(
                                "remedy",
                                "check the name in the record's key; the evacuation holds until it is cancelled")
                        .warn(LOGGER);
            }
        }
    }

    private static void log(EvacuationOrder order, String source) {
        Event.of("evacuation")
                .with("domain", order.domain())
                .with("active", order.active())
                .with("era", order.position().era())
                .with("offset", order.position().offset())
                .with("source", source)
                .warn(LOGGER);
    }

    /**
     * Returns what a refusal has to say if endpoints of its pool are in evacuated domains; empty if none is.
     */
    String describe(PoolId pool, Collection<EndpointState> listed) {
        Set<FailureDomain> domains = listed.stream()
                .filter(state -> state.endpoint().pool().equals(pool)
                        && !state.endpoint().leaving()
                        && isEvacuated(state))
                .map(state -> state.endpoint().domain())
                .collect(Collectors.toSet());
        return domains.isEmpty()
                ? ""
                : "; endpoints of failure domains that operators have evacuated are not used: " + names(domains);
    }

    private static String names(Collection<FailureDomain> domains) {
        return domains.stream().sorted().map(FailureDomain::value).collect(Collectors.joining(","));
    }
}
