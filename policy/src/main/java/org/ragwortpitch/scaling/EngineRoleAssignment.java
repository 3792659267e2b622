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
 * Plans which engines decode and which prefill.
 */
public final class EngineRoleAssignment {

    /** At most one in this many engines decodes; more would not help streams that wait for prefill engines. */
    private static final int ENGINES_PER_DECODE_ENGINE = 3;

    private EngineRoleAssignment() {}

    /**
     * Returns the engines whose role has to change. Decode engines are spread over the failure domains and chosen first
     * among the on-demand engines, then among those that decode already, so that few change.
     *
     * @param engines       the engines of a pool that are not about to leave
     * @param decodeEngines the number of decode engines wanted; at most a third of the engines decode
     * @param fresh         matches engines that have served no request yet; other decode engines keep their role unless
     *                      more than twice as many engines decode as wanted
     * @return the new role of each engine that changes
     */
    public static Map<Endpoint, EndpointRole> changes(
            Collection<Endpoint> engines, int decodeEngines, Predicate<Endpoint> fresh) {
        List<Endpoint> byPreference = new ArrayList<>(engines);
        byPreference.sort(Comparator.comparing(Endpoint::reclaimable)
                .thenComparing(engine -> engine.role() != EndpointRole.DECODE)
                .thenComparing(Endpoint::id));
        List<Endpoint> order = interleave(byPreference);
        int wanted = Math.max(1, Math.min(decodeEngines, order.size() / ENGINES_PER_DECODE_ENGINE));
        boolean tooMany = engines.stream()
                        .filter(engine -> engine.role() == EndpointRole.DECODE)
                        .count()
                > 2L * wanted;
        Map<Endpoint, EndpointRole> changes = new HashMap<>();
        for (int index = 0; index < order.size(); index++) {
            EndpointRole role = index < wanted ? EndpointRole.DECODE : EndpointRole.PREFILL;
            Endpoint engine = order.get(index);
            boolean allowed = role == EndpointRole.DECODE || fresh.test(engine) || tooMany;
            if (engine.role() != role && allowed) {
                changes.put(engine, role);
            }
        }
        return changes;
    }

    /**
     * Interleaves the failure domains: the first engine of each, then the second of each, and so on.
     */
    private static List<Endpoint> interleave(List<Endpoint> byPreference) {
        Map<FailureDomain, Integer> seen = new HashMap<>();
        Map<Endpoint, Integer> rounds = new HashMap<>();
        byPreference.forEach(engine -> rounds.put(engine, seen.merge(engine.domain(), 1, Integer::sum)));
        return byPreference.stream().sorted(Comparator.comparing(rounds::get)).toList();
    }
}
