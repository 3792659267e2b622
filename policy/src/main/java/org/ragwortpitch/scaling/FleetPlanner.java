package org.ragwortpitch.scaling;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Plans how many engines a pool has in each failure domain. Firm ones make tokens, since a stream that breaks off is
 * dear; reclaimable ones, which cost a fraction, read prompts. All reclaimable ones of a domain may go at once, so that
 * those of the other domains have to carry the load.
 */
public final class FleetPlanner {

    /** Firm engines of each failure domain, so that streams go on while nothing else can be had. */
    private static final int FIRM_EACH = 1;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param readers the engines that carry the reading of prompts
     * @param now     what is there now; failure domains without engines may be left out
     */
    public static Map<FailureDomain, DomainFleet> plan(
            ScalingSpec spec, int readers, Map<FailureDomain, DomainFleet> now) {
        Map<FailureDomain, DomainFleet> plan = new HashMap<>();
        int carrying = Math.max(1, now.size() - 1);
        int each = Math.max(spec.min(), Math.min(spec.max(), FIRM_EACH + (readers + carrying - 1) / carrying));
        now.forEach((domain, fleet) -> plan.put(domain, domainPlan(spec, each, fleet)));
        return plan;
    }

    private static DomainFleet domainPlan(ScalingSpec spec, int each, DomainFleet now) {
        if (spec.spotPrice() <= 0) {
            return new DomainFleet(each, 0);
        }
        int floor = Math.min(each, FIRM_EACH);
        int reclaimable = each - floor;
        // A firm one goes only once a reclaimable one has come for it.
        int firm = Math.max(floor, Math.min(now.firm(), each - now.reclaimable()));
        return new DomainFleet(firm, Math.min(reclaimable, spec.max() - firm));
    }
}
