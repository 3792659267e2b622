package org.ragwortpitch.overflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Computes which share of a domain's demand on one pool leaves, by a formula that all daemons share: the excess of all
 * full domains is divided over the spare capacity of the others, so that together they send no more than that. The
 * share is damped and has hysteresis. Confined to one thread.
 */
public final class OverflowController {

    /** Utilization up to which a domain's engines are loaded by its own demand and that of others. */
    private static final double TARGET_UTILIZATION = 0.8;

    /** Utilization from which a domain is full; above the target, so that noise at the target changes nothing. */
    private static final double FULL_UTILIZATION = 0.85;

    /** Utilization below which a domain is no longer full. */
    private static final double ROOM_UTILIZATION = 0.7;

    /** Age up to which figures count in full, in milliseconds: three digests of the usual interval. */
    private static final long FRESH_MILLIS = 1_500;

    /** Age from which nothing is sent to a domain, in milliseconds; in between, less and less is sent. */
    private static final long MAX_AGE_MILLIS = 5_000;

    /**
     * Age from which a domain's figures are dropped, in milliseconds. Until then they count, so that a daemon that no
     * longer hears one domain doesn't send the others more than its peers do.
     */
    private static final long FORGET_MILLIS = 60_000;

    /** Time constant of a rising share, in milliseconds: the window of the measured demand. */
    private static final double RISE_MILLIS = 2_500;

    /** Time constant of a falling share, in milliseconds: short, so that demand returns when there is room. */
    private static final double FALL_MILLIS = 700;

    /** Shares below this are not worth a request. */
    private static final double MIN_SHARE = 0.005;

    private final FailureDomain own;
    private final Set<FailureDomain> full = new HashSet<>();
    private final Map<FailureDomain, Double> shares = new HashMap<>();
    private long updatedMillis = Long.MIN_VALUE;

    /**
     * Creates a controller that sends nothing.
     *
     * @param own the daemon's failure domain
     */
    public OverflowController(FailureDomain own) {
        this.own = own;
    }

    /**
     * Updates the shares. Figures that are invalid or too old are ignored.
     *
     * @param loads the load of each domain
     * @return {@link DomainShares#NONE} if the daemon's own domain has no engines, or no other domain is known to
     */
    public DomainShares update(Map<FailureDomain, DomainLoad> loads, long nowMillis) {
        Map<FailureDomain, DomainLoad> known = new HashMap<>(loads);
        known.values().removeIf(load -> !load.isValid() || load.ageMillis() >= FORGET_MILLIS);
        full.retainAll(known.keySet());
        known.forEach(this::updateFull);
        if (!hasEngines(known.get(own)) || known.entrySet().stream().noneMatch(this::isCandidate)) {
            shares.clear();
            updatedMillis = nowMillis;
            return DomainShares.NONE;
        }
        damp(full.contains(own) ? wanted(known) : Map.of(), nowMillis);
        Set<FailureDomain> avoided = new HashSet<>(full);
        avoided.removeIf(domain -> domain.equals(own) || known.get(domain).ageMillis() >= MAX_AGE_MILLIS);
        return new DomainShares(full.contains(own), shares, avoided);
    }

    private boolean isCandidate(Map.Entry<FailureDomain, DomainLoad> load) {
        return !load.getKey().equals(own)
                && hasEngines(load.getValue())
                && load.getValue().ageMillis() < MAX_AGE_MILLIS;
    }

    private static boolean hasEngines(DomainLoad load) {
        return load != null && load.capacityTokensPerMilli() > 0;
    }

    /**
     * Applies the hysteresis. Between the thresholds, a domain that says that it overflows is full, so that a daemon
     * that has just started agrees with the others.
     */
    private void updateFull(FailureDomain domain, DomainLoad load) {
        double utilization = load.demandTokensPerMilli() / load.capacityTokensPerMilli();
        if (!hasEngines(load) || utilization < ROOM_UTILIZATION) {
            full.remove(domain);
        } else if (utilization > FULL_UTILIZATION || load.overflowing()) {
            full.add(domain);
        }
    }

    /**
     * Returns the shares that the figures call for. Demand of domains without engines has to go elsewhere, so it takes
     * spare capacity first.
     */
    private Map<FailureDomain, Double> wanted(Map<FailureDomain, DomainLoad> known) {
        double excess = 0;
        double withoutEngines = 0;
        double allSpare = 0;
        Map<FailureDomain, Double> spare = new HashMap<>();
        for (Map.Entry<FailureDomain, DomainLoad> entry : known.entrySet()) {
            DomainLoad load = entry.getValue();
            double room = TARGET_UTILIZATION * load.capacityTokensPerMilli() - load.demandTokensPerMilli();
            if (!hasEngines(load)) {
                withoutEngines += load.demandTokensPerMilli();
            } else if (full.contains(entry.getKey())) {
                excess += Math.max(0, -room);
            } else if (room > 0 && !load.overflowing() && !entry.getKey().equals(own)) {
                allSpare += room;
                spare.put(entry.getKey(), room * weight(load.ageMillis()));
            }
        }
        DomainLoad here = known.get(own);
        double ownExcess = here.demandTokensPerMilli() - TARGET_UTILIZATION * here.capacityTokensPerMilli();
        if (ownExcess <= 0 || allSpare <= withoutEngines) {
            return Map.of();
        }
        double sent = Math.min(1, (allSpare - withoutEngines) / excess) * ownExcess / here.demandTokensPerMilli();
        double total = allSpare;
        spare.replaceAll((domain, room) -> sent * room / total);
        return spare;
    }

    private static double weight(long ageMillis) {
        double stale = (ageMillis - FRESH_MILLIS) / (double) (MAX_AGE_MILLIS - FRESH_MILLIS);
        return 1 - Math.max(0, Math.min(1, stale));
    }

    private void damp(Map<FailureDomain, Double> wanted, long nowMillis) {
        double elapsedMillis = updatedMillis == Long.MIN_VALUE ? 0 : Math.max(0, nowMillis - updatedMillis);
        updatedMillis = nowMillis;
        Set<FailureDomain> domains = new HashSet<>(shares.keySet());
        domains.addAll(wanted.keySet());
        for (FailureDomain domain : domains) {
            double before = shares.getOrDefault(domain, 0.0);
            double aim = wanted.getOrDefault(domain, 0.0);
            double constantMillis = aim > before ? RISE_MILLIS : FALL_MILLIS;
            double next = before + (aim - before) * -Math.expm1(-elapsedMillis / constantMillis);
            if (next < MIN_SHARE && aim < MIN_SHARE) {
                shares.remove(domain);
            } else {
                shares.put(domain, next);
            }
        }
    }
}
