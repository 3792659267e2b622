package org.ragwortpitch.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.order.RoleOrder;

/**
 * Plans which endpoint of a pool is ordered to change its role next: one at a time, since each is unavailable for
 * seconds meanwhile, and only where no conflicting order may still be pending.
 */
public final class RolePlanner {

    private RolePlanner() {}

    /**
     * Returns the next order.
     *
     * @param endpoints the configured endpoints of the pool
     * @param reports   the last report of each endpoint that has sent one
     * @param open      the orders that may still be pending
     * @return the order; empty if every reported role is as configured, a role change is in progress or all due orders
     *         conflict with pending ones
     */
    public static Optional<RoleOrder> next(
            List<EndpointRule> endpoints, Map<EndpointId, EndpointReport> reports, List<OpenOrder> open) {
        boolean changing = endpoints.stream()
                .map(endpoint -> reports.get(endpoint.id()))
                .anyMatch(report -> report != null && report.role().equals(EndpointReport.CHANGING));
        if (changing) {
            return Optional.empty();
        }
        return endpoints.stream()
                .filter(endpoint -> hasOtherRole(endpoint, reports.get(endpoint.id())))
                .map(endpoint -> new RoleOrder(endpoint.id(), endpoint.role(), endpoint.checksFencing()))
                .filter(order -> open.stream().noneMatch(pending -> conflicts(pending, order)))
                .findFirst();
    }

    /**
     * An endpoint without a report is left as it is, since its role is unknown.
     */
    private static boolean hasOtherRole(EndpointRule endpoint, EndpointReport report) {
        return report != null && !report.role().equals(endpoint.role().name().toLowerCase(Locale.ROOT));
    }

    /**
     * An endpoint that does not check fencing tokens could apply a pending order to another role after the new one, so
     * such an order blocks it.
     */
    private static boolean conflicts(OpenOrder pending, RoleOrder order) {
        boolean sameTarget = pending.order().target().equals(order.target());
        return sameTarget && !order.checksFencing() && !pending.order().equals(order);
    }
}
