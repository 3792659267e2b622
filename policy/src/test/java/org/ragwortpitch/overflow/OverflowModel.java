package org.ragwortpitch.overflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Simulates the prefill queues of several failure domains. Each domain has several daemons, which know their own domain
 * with a delay of 200 ms and others with a longer one. Deterministic.
 */
final class OverflowModel {

    static final long STEP_MILLIS = 100;

    /** As the step of the daemons' reports. */
    private static final long REFRESH_MILLIS = 500;

    private static final long OWN_DELAY_MILLIS = 200;

    private static final int DAEMONS = 5;

    private final List<FailureDomain> domains;
    private final long delayMillis;
    private final LongPredicate cut;
    private final List<Map<FailureDomain, Snapshot>> history = new ArrayList<>();
    private final Map<FailureDomain, Double> queues = new HashMap<>();
    private final Map<FailureDomain, List<Router>> routers = new HashMap<>();
    private final List<Map<FailureDomain, Double>> sentShares = new ArrayList<>();
    private final List<Map<FailureDomain, Double>> received = new ArrayList<>();
    private double longestWaitMillis;

    /**
     * Creates a model without load.
     *
     * @param delayMillis the age of figures of other domains
     * @param cut         whether the first daemon of the first domain hears nothing new of the last domain at a time
     */
    OverflowModel(List<FailureDomain> domains, RouterFactory factory, long delayMillis, LongPredicate cut) {
        this.domains = domains;
        this.delayMillis = delayMillis;
        this.cut = cut;
        for (FailureDomain domain : domains) {
            queues.put(domain, 0.0);
            List<Router> daemons = new ArrayList<>();
            for (int index = 0; index < DAEMONS; index++) {
                daemons.add(factory.create(domain));
            }
            routers.put(domain, daemons);
        }
    }

    /**
     * Plays the loads from a time on.
     */
    void play(long fromMillis, long untilMillis, LoadPattern pattern) {
        for (long now = fromMillis; now < untilMillis; now += STEP_MILLIS) {
            step(pattern, now);
        }
    }

    private void step(LoadPattern pattern, long nowMillis) {
        Map<FailureDomain, Snapshot> present = new HashMap<>();
        domains.forEach(domain -> present.put(
                domain,
                new Snapshot(
                        pattern.demand(domain, nowMillis), pattern.capacity(domain, nowMillis), queues.get(domain))));
        history.add(present);
        Map<FailureDomain, Double> arrivals = new HashMap<>();
        Map<FailureDomain, Double> arrivalsFromOthers = new HashMap<>();
        Map<FailureDomain, Double> sent = new HashMap<>();
        for (FailureDomain from : domains) {
            for (int index = 0; index < DAEMONS; index++) {
                double demand = present.get(from).demand() / DAEMONS;
                if ((nowMillis + index * STEP_MILLIS) % REFRESH_MILLIS == 0) {
                    routers.get(from).get(index).update(view(from, index, nowMillis), nowMillis);
                }
                routers.get(from).get(index).shares().forEach((to, share) -> {
                    arrivals.merge(to, demand * share, Double::sum);
                    arrivalsFromOthers.merge(to, demand * share, Double::sum);
                    arrivals.merge(from, -demand * share, Double::sum);
                    sent.merge(from, share / DAEMONS, Double::sum);
                });
                arrivals.merge(from, demand, Double::sum);
            }
        }
        for (FailureDomain domain : domains) {
            double capacity = present.get(domain).capacity();
            double queue = queues.get(domain) + (arrivals.get(domain) - capacity) * STEP_MILLIS;
            queues.put(domain, Math.max(0, queue));
            longestWaitMillis = Math.max(longestWaitMillis, queues.get(domain) / capacity);
        }
        sentShares.add(sent);
        received.add(arrivalsFromOthers);
    }

    private Map<FailureDomain, Observation> view(FailureDomain from, int index, long nowMillis) {
        Map<FailureDomain, Observation> view = new HashMap<>();
        for (FailureDomain domain : domains) {
            long age = domain.equals(from) ? OWN_DELAY_MILLIS : delayMillis;
            boolean affected =
                    index == 0 && from.equals(domains.get(0)) && domain.equals(domains.get(domains.size() - 1));
            while (affected && cut.test(nowMillis - age)) {
                age += STEP_MILLIS;
            }
            int at = (int) Math.max(0, history.size() - 1 - age / STEP_MILLIS);
            view.put(domain, new Observation(history.get(at).get(domain), domain.equals(from) ? 0 : age));
        }
        return view;
    }

    /** Returns the share that a domain sends on average over the last steps. */
    double sentShare(FailureDomain domain, int steps) {
        return last(sentShares, steps).stream()
                .mapToDouble(sent -> sent.getOrDefault(domain, 0.0))
                .average()
                .orElseThrow();
    }

    /** Returns the tokens per millisecond that a domain receives from others on average over the last steps. */
    double received(FailureDomain domain, int steps) {
        return last(received, steps).stream()
                .mapToDouble(tokens -> tokens.getOrDefault(domain, 0.0))
                .average()
                .orElseThrow();
    }

    /** Returns how far the sent share moves up and down in a second, on average over the last steps. */
    double oscillationPerSecond(FailureDomain domain, int steps) {
        List<Map<FailureDomain, Double>> shares = last(sentShares, steps);
        double moved = 0;
        for (int index = 1; index < shares.size(); index++) {
            moved += Math.abs(shares.get(index).getOrDefault(domain, 0.0)
                    - shares.get(index - 1).getOrDefault(domain, 0.0));
        }
        return moved * 1_000 / (steps * STEP_MILLIS);
    }

    /** Returns the time from a step on after which the sent share stays within 0.05 of its final average. */
    long settledMillis(FailureDomain domain, long fromMillis) {
        double end = sentShare(domain, 50);
        int settled = sentShares.size();
        while (settled > 0 && Math.abs(sentShares.get(settled - 1).getOrDefault(domain, 0.0) - end) <= 0.05) {
            settled--;
        }
        return Math.max(0, settled * STEP_MILLIS - fromMillis);
    }

    double longestWaitMillis() {
        return longestWaitMillis;
    }

    /** Returns the share that one daemon sends at present. */
    double daemonShare(FailureDomain domain, int index) {
        return routers.get(domain).get(index).shares().values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    private static <T> List<T> last(List<T> all, int count) {
        return all.subList(all.size() - count, all.size());
    }

    /** Demand and capacity in tokens per millisecond, and the queue in tokens. */
    record Snapshot(double demand, double capacity, double queue) {}

    /** What a daemon knows of a domain, and its age in milliseconds. */
    record Observation(Snapshot snapshot, long ageMillis) {}

    /** The demand and capacity of each domain over time, in tokens per millisecond. */
    interface LoadPattern {

        double demand(FailureDomain domain, long nowMillis);

        double capacity(FailureDomain domain, long nowMillis);
    }

    /** Decides for one daemon which share of its demand goes to each other domain. */
    interface Router {

        void update(Map<FailureDomain, Observation> view, long nowMillis);

        Map<FailureDomain, Double> shares();
    }

    /** Creates the router of a daemon of a domain. */
    interface RouterFactory {

        Router create(FailureDomain own);
    }
}
