package org.ragwortpitch.scaling;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Plans how many endpoints a pool has in each failure domain. All reclaimable ones of a domain may go at once, so that
 * the other domains together have to carry the load; a firm floor stays everywhere. Reclaimable ones replace firm ones
 * as far as they are there, since they cost a fraction.
 */
public final class FleetPlanner {

    /** Firm endpoints of a failure domain that stay, so that something serves while nothing else can be had. */
    private static final int FIRM_FLOOR = 1;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param needed the endpoints that carry the load
     * @param now    what is there now; failure domains without endpoints may be left out
     */
    public static Map<FailureDomain, DomainFleet> plan(
            ScalingSpec spec, int needed, Map<FailureDomain, DomainFleet> now) {
        Map<FailureDomain, DomainFleet> plan = new HashMap<>();
        int domains = now.size();
        int carrying = Math.max(1, domains - 1);
        int each = Math.max(spec.min(), Math.min(spec.max(), (needed + carrying - 1) / carrying));
        now.forEach((domain, fleet) -> plan.put(domain, domainPlan(spec, each, fleet)));
        return plan;
    }

    private static DomainFleet domainPlan(ScalingSpec spec, int each, DomainFleet now) {
        if (spec.spotPrice() <= 0) {
            return new DomainFleet(each, 0);
        }
        int floor = Math.min(each, FIRM_FLOOR);
        int reclaimable = each - floor;
        // A firm one goes only once a reclaimable one has come for it.
        int firm = Math.max(floor, Math.min(now.firm(), each - now.reclaimable()));
        return new DomainFleet(firm, Math.min(reclaimable, spec.max() - firm));
    }
}
