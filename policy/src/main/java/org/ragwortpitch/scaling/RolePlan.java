package org.ragwortpitch.scaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Plans which engines make tokens and which read prompts.
 */
public final class RolePlan {

    /** Of so many engines one may make tokens; where streams pile up for want of readers, more of it wouldn't help. */
    private static final int LEAST_READERS_EACH = 3;

    private RolePlan() {}

    /**
     * Finds the engines whose role has to change. Engines that make tokens are spread over the failure domains, and
     * chosen first among the firm ones, then among those that do so already, so that few change.
     *
     * @param engines  the engines of a pool that stay
     * @param decoders how many have to make tokens at most; no more than a third does
     * @param fresh    engines that have served nothing yet; others that make tokens go on, unless more than twice as
     *                 many do as have to
     * @return the new role of each engine that changes
     */
    public static Map<Endpoint, EndpointRole> changes(
            Collection<Endpoint> engines, int decoders, Predicate<Endpoint> fresh) {
        List<Endpoint> byChoice = new ArrayList<>(engines);
        byChoice.sort(Comparator.comparing(Endpoint::reclaimable)
                .thenComparing(engine -> engine.role() != EndpointRole.DECODE)
                .thenComparing(Endpoint::id));
        List<Endpoint> order = spread(byChoice);
        int wanted = Math.max(1, Math.min(decoders, order.size() / LEAST_READERS_EACH));
        boolean tooMany = engines.stream()
                        .filter(engine -> engine.role() == EndpointRole.DECODE)
                        .count()
                > 2L * wanted;
        Map<Endpoint, EndpointRole> changes = new HashMap<>();
        for (int index = 0; index < order.size(); index++) {
            EndpointRole role = index < wanted ? EndpointRole.DECODE : EndpointRole.PREFILL;
            Endpoint engine = order.get(index);
            boolean worthwhile = role == EndpointRole.DECODE || fresh.test(engine) || tooMany;
            if (engine.role() != role && worthwhile) {
                changes.put(engine, role);
            }
        }
        return changes;
    }

    /**
     * Takes the first of each failure domain first, then the second of each, and so on.
     */
    private static List<Endpoint> spread(List<Endpoint> byChoice) {
        Map<FailureDomain, Integer> seen = new HashMap<>();
        Map<Endpoint, Integer> rounds = new HashMap<>();
        byChoice.forEach(engine -> rounds.put(engine, seen.merge(engine.domain(), 1, Integer::sum)));
        return byChoice.stream().sorted(Comparator.comparing(rounds::get)).toList();
    }
}
