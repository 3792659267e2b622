package org.ragwortpitch.scaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Plans how many engines a pool has in each failure domain. Reclaimable ones cost a fraction, and their notice is
 * longer than a usual stream, so that they do nearly all the work. One firm engine in the cheapest failure domain stays
 * always; further ones stand in where reclaimable ones are not to be had.
 */
public final class FleetPlanner {

    /** Firm engines that go at once to make room; the others carry the load meanwhile. */
    private static final int ROOM_STEP = 2;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param wanted  the engines that carry the load
     * @param now     what is there now, in each failure domain that can be ordered from
     * @param without the failure domains where no reclaimable engine is to be had
     * @param serving whether callers were seen yet; before, firm engines needn't wait for those that replace them
     */
    public static Map<FailureDomain, DomainFleet> plan(
            ScalingSpec spec,
            int wanted,
            Map<FailureDomain, DomainFleet> now,
            Set<FailureDomain> without,
            boolean serving) {
        int engines = Math.min(wanted, spec.max() * now.size());
        List<FailureDomain> byPrice = now.keySet().stream()
                .sorted(Comparator.<FailureDomain>comparingDouble(
                                domain -> spec.prices().getOrDefault(domain, 1.0))
                        .thenComparing(FailureDomain::value))
                .toList();
        long open = byPrice.stream().filter(domain -> !without.contains(domain)).count();
        int each = spec.spotPrice() <= 0 || open == 0
                ? spec.min()
                : (int) Math.max(spec.min(), Math.min(spec.max(), (engines + open - 1) / open));
        boolean enough = now.values().stream().mapToInt(DomainFleet::total).sum() >= engines;
        Map<FailureDomain, Integer> firm = firm(spec, byPrice, each, engines, without);
        Map<FailureDomain, DomainFleet> plan = new HashMap<>();
        now.forEach((domain, fleet) -> {
            int wantedFirm = firm.get(domain);
            int staying =
                    serving && enough && spec.spotPrice() > 0 ? stayingFirm(spec, each, wantedFirm, fleet) : wantedFirm;
            int stayingFirm = serving && !enough ? Math.max(wantedFirm, fleet.firm()) : staying;
            int reclaimable = spec.spotPrice() <= 0 ? 0 : each - (domain.equals(byPrice.get(0)) ? 1 : 0);
            int kept = enough ? reclaimable : Math.max(reclaimable, fleet.reclaimable());
            int room = Math.max(0, Math.min(kept, spec.max() - stayingFirm));
            // Where none were to be had one is asked for even without room, to learn when that has changed.
            plan.put(domain, new DomainFleet(stayingFirm, without.contains(domain) ? Math.max(1, room) : room));
        });
        return plan;
    }

    /**
     * Lets firm ones go as reclaimable ones come for them, or two at a time where the limit leaves no room for these.
     */
    private static int stayingFirm(ScalingSpec spec, int each, int wanted, DomainFleet now) {
        int replaced = Math.min(now.firm(), each - now.reclaimable());
        int roomMade = now.total() >= spec.max() ? now.firm() - ROOM_STEP : now.firm();
        return Math.max(wanted, Math.min(replaced, roomMade));
    }

    /**
     * Gives the firm ones that are needed to the cheapest failure domains with room for them.
     */
    private static Map<FailureDomain, Integer> firm(
            ScalingSpec spec, List<FailureDomain> byPrice, int each, int engines, Set<FailureDomain> without) {
        Map<FailureDomain, Integer> firm = new HashMap<>();
        int missing = engines;
        for (FailureDomain domain : byPrice) {
            int floor = domain.equals(byPrice.get(0)) ? 1 : 0;
            firm.put(domain, floor);
            boolean open = spec.spotPrice() > 0 && !without.contains(domain);
            missing -= open ? each : floor;
        }
        for (FailureDomain domain : byPrice) {
            boolean open = spec.spotPrice() > 0 && !without.contains(domain);
            int room = spec.max() - (open ? each : firm.get(domain));
            int more = Math.max(0, Math.min(missing, room));
            firm.merge(domain, more, Integer::sum);
            missing -= more;
        }
        return firm;
    }
}
