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
 * Decides which endpoint of a pool is ordered to change its role next: one at a time, since each is away for seconds,
 * and only where no other order may still be under way.
 */
public final class RolePlanner {

    /**
     * Not to be made.
     */
    private RolePlanner() {}

    /**
     * Decides.
     *
     * @param endpoints the pool's endpoints as the rules want them
     * @param reports   what the endpoints have told
     * @param open      the orders that may be under way
     * @return the next order, if one is due
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
                .filter(endpoint -> differs(endpoint, reports.get(endpoint.id())))
                .map(endpoint -> new RoleOrder(endpoint.id(), endpoint.role(), endpoint.checksFencing()))
                .filter(order -> open.stream().noneMatch(other -> hinders(other, order)))
                .findFirst();
    }

    /**
     * Tells whether an endpoint has another role than the rules want.
     *
     * @param endpoint the endpoint as the rules want it
     * @param report   what it has told; null if nothing
     * @return whether it has
     */
    private static boolean differs(EndpointRule endpoint, EndpointReport report) {
        return report != null && !report.role().equals(endpoint.role().name().toLowerCase(Locale.ROOT));
    }

    /**
     * Tells whether an open order stands in the way: any of this term of the duty, and a differing one on an endpoint
     * that does not check fencing numbers.
     *
     * @param other the open order
     * @param order the order
     * @return whether it does
     */
    private static boolean hinders(OpenOrder other, RoleOrder order) {
        boolean sameTarget = other.order().target().equals(order.target());
        return sameTarget && !order.checksFencing() && !other.order().equals(order);
    }
}
