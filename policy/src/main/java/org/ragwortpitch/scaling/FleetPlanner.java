package org.ragwortpitch.scaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Plans how many engines a pool has in each failure domain. Spot engines cost a fraction of the on-demand price and are
 * reclaimed with a notice longer than a usual stream, so they carry nearly all the load. One on-demand engine in the
 * cheapest failure domain always stays; further ones are substitutes where spot capacity is unavailable.
 */
public final class FleetPlanner {

    /** On-demand engines released at a time to make room for spot engines; the others carry the load meanwhile. */
    private static final int RELEASE_STEP = 2;

    private FleetPlanner() {}

    /**
     * Plans the number of engines in each failure domain that is not evacuated; those of the others carry no load, so
     * their share is planned in the remaining domains.
     *
     * @param evacuated the evacuated failure domains, for which nothing is planned
     */
    public static Map<FailureDomain, DomainFleet> plan(
            ScalingSpec spec,
            int wanted,
            Map<FailureDomain, DomainFleet> present,
            Set<FailureDomain> unavailable,
            Set<FailureDomain> evacuated,
            boolean serving) {
        Map<FailureDomain, DomainFleet> serviceable = new HashMap<>(present);
        serviceable.keySet().removeAll(evacuated);
        return serviceable.isEmpty() ? Map.of() : plan(spec, wanted, serviceable, unavailable, serving);
    }

    /**
     * Plans the number of engines in each failure domain.
     *
     * @param wanted      the engines needed to carry the load
     * @param present     the engines running in each failure domain where engines can be ordered
     * @param unavailable the failure domains without spot capacity
     * @param serving     whether demand has been seen yet; before that, on-demand engines are released without waiting
     *                    for the spot engines that replace them
     */
    public static Map<FailureDomain, DomainFleet> plan(
            ScalingSpec spec,
            int wanted,
            Map<FailureDomain, DomainFleet> present,
            Set<FailureDomain> unavailable,
            boolean serving) {
        int engines = Math.min(wanted, spec.max() * present.size());
        List<FailureDomain> byPrice = present.keySet().stream()
                .sorted(Comparator.<FailureDomain>comparingDouble(
                                domain -> spec.prices().getOrDefault(domain, 1.0))
                        .thenComparing(FailureDomain::value))
                .toList();
        long open =
                byPrice.stream().filter(domain -> !unavailable.contains(domain)).count();
        int perDomain = spec.spotPrice() <= 0 || open == 0
                ? spec.min()
                : (int) Math.max(spec.min(), Math.min(spec.max(), (engines + open - 1) / open));
        boolean sufficient =
                present.values().stream().mapToInt(DomainFleet::total).sum() >= engines;
        Map<FailureDomain, Integer> onDemand = onDemandByDomain(spec, byPrice, perDomain, engines, unavailable);
        Map<FailureDomain, DomainFleet> plan = new HashMap<>();
        present.forEach((domain, fleet) -> {
            int wantedOnDemand = onDemand.get(domain);
            int remaining = serving && sufficient && spec.spotPrice() > 0
                    ? afterRelease(spec, perDomain, wantedOnDemand, fleet)
                    : wantedOnDemand;
            int retainedOnDemand = serving && !sufficient ? Math.max(wantedOnDemand, fleet.onDemand()) : remaining;
            int spot = spec.spotPrice() <= 0 ? 0 : perDomain - (domain.equals(byPrice.get(0)) ? 1 : 0);
            int targetSpot = sufficient ? spot : Math.max(spot, fleet.spot());
            int room = Math.max(0, Math.min(targetSpot, spec.max() - retainedOnDemand));
            // Where spot capacity was unavailable, one is ordered even beyond the limit, to detect when it is back.
            plan.put(
                    domain, new DomainFleet(retainedOnDemand, unavailable.contains(domain) ? Math.max(1, room) : room));
        });
        return plan;
    }

    /**
     * Returns the on-demand engines to retain: one is released for each spot engine that replaces it, or two at a time
     * where the limit leaves no room for spot engines.
     */
    private static int afterRelease(ScalingSpec spec, int perDomain, int wanted, DomainFleet present) {
        int replaced = Math.min(present.onDemand(), perDomain - present.spot());
        int roomMade = present.total() >= spec.max() ? present.onDemand() - RELEASE_STEP : present.onDemand();
        return Math.max(wanted, Math.min(replaced, roomMade));
    }

    /**
     * Assigns the on-demand engines needed to the cheapest failure domains with room for them.
     */
    private static Map<FailureDomain, Integer> onDemandByDomain(
            ScalingSpec spec, List<FailureDomain> byPrice, int perDomain, int engines, Set<FailureDomain> unavailable) {
        Map<FailureDomain, Integer> onDemand = new HashMap<>();
        int missing = engines;
        for (FailureDomain domain : byPrice) {
            int floor = domain.equals(byPrice.get(0)) ? 1 : 0;
            onDemand.put(domain, floor);
            boolean open = spec.spotPrice() > 0 && !unavailable.contains(domain);
            missing -= open ? perDomain : floor;
        }
        for (FailureDomain domain : byPrice) {
            boolean open = spec.spotPrice() > 0 && !unavailable.contains(domain);
            int room = spec.max() - (open ? perDomain : onDemand.get(domain));
            int added = Math.max(0, Math.min(missing, room));
            onDemand.merge(domain, added, Integer::sum);
            missing -= added;
        }
        return onDemand;
    }
}
