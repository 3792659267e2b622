package org.ragwortpitch.overflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Map.Entry;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.overflow.OverflowModel.Observation;
import org.ragwortpitch.overflow.OverflowModel.Router;

/**
 * The ways to choose domains that the model compares.
 */
enum ModelRouters implements OverflowModel.RouterFactory {
    SHARED_FORMULA {
        @Override
        public Router create(FailureDomain own) {
            OverflowController controller = new OverflowController(own);
            return new StatefulRouter(
                    (view, now) -> controller.update(loads(view), now).targets());
        }
    },

    /** Each request goes to the lowest wait plus 20 ms for other domains. */
    FIXED_PENALTY {
        @Override
        public Router create(FailureDomain own) {
            return new StatefulRouter((view, now) -> cheapest(view, own, 20));
        }
    },

    /** Requests leave for the shortest queue when the wait in their own domain exceeds 100 ms. */
    QUEUE_THRESHOLD {
        @Override
        public Router create(FailureDomain own) {
            return new StatefulRouter(
                    (view, now) -> waitMillis(view.get(own)) <= 100 ? Map.of() : cheapest(view, own, 0));
        }
    },

    /** Each domain publishes its wait and utilization as a price; demand moves in proportion to the difference. */
    DOMAIN_PRICES {
        @Override
        public Router create(FailureDomain own) {
            Map<FailureDomain, Double> shares = new HashMap<>();
            return new StatefulRouter((view, now) -> {
                view.keySet().stream().filter(domain -> !domain.equals(own)).forEach(domain -> {
                    double gain = price(view.get(own)) - price(view.get(domain)) - 20;
                    double next = shares.getOrDefault(domain, 0.0) + gain / 10_000;
                    shares.put(domain, Math.max(0, Math.min(1.0 / view.size(), next)));
                });
                return Map.copyOf(shares);
            });
        }
    };

    private static double price(Observation domain) {
        return waitMillis(domain)
                + 100 * domain.snapshot().demand() / domain.snapshot().capacity();
    }

    private static double waitMillis(Observation domain) {
        return domain.snapshot().queue() / domain.snapshot().capacity();
    }

    private static Map<FailureDomain, Double> cheapest(
            Map<FailureDomain, Observation> view, FailureDomain own, double penaltyMillis) {
        FailureDomain best = view.entrySet().stream()
                .min(Comparator.comparingDouble((Entry<FailureDomain, Observation> entry) ->
                                waitMillis(entry.getValue()) + (entry.getKey().equals(own) ? 0 : penaltyMillis))
                        .thenComparing(Entry::getKey))
                .orElseThrow()
                .getKey();
        return best.equals(own) ? Map.of() : Map.of(best, 1.0);
    }

    private static Map<FailureDomain, DomainLoad> loads(Map<FailureDomain, Observation> view) {
        Map<FailureDomain, DomainLoad> loads = new HashMap<>();
        view.forEach((domain, seen) -> loads.put(
                domain, new DomainLoad(seen.snapshot().demand(), seen.snapshot().capacity(), seen.ageMillis(), false)));
        return loads;
    }

    private interface Decision {

        Map<FailureDomain, Double> decide(Map<FailureDomain, Observation> view, long nowMillis);
    }

    private static final class StatefulRouter implements Router {

        private final Decision decision;
        private Map<FailureDomain, Double> shares = Map.of();

        StatefulRouter(Decision decision) {
            this.decision = decision;
        }

        @Override
        public void update(Map<FailureDomain, Observation> view, long nowMillis) {
            shares = decision.decide(view, nowMillis);
        }

        @Override
        public Map<FailureDomain, Double> shares() {
            return shares;
        }
    }
}
