package org.ragwortpitch.scaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;

/**
 * Plans which engines make tokens and which read prompts.
 */
public final class RolePlan {

    private RolePlan() {}

    /**
     * Finds the engines whose role has to change. Engines that make tokens are chosen first among the firm ones, then
     * among those that do so already, so that few change.
     *
     * @param engines  the engines of a pool that stay
     * @param decoders how many have to make tokens; at least one engine reads prompts where there are two
     * @return the new role of each engine that changes
     */
    public static Map<Endpoint, EndpointRole> changes(Collection<Endpoint> engines, int decoders) {
        List<Endpoint> order = new ArrayList<>(engines);
        order.sort(Comparator.comparing(Endpoint::reclaimable)
                .thenComparing(engine -> engine.role() != EndpointRole.DECODE)
                .thenComparing(Endpoint::id));
        int wanted = Math.max(1, Math.min(decoders, order.size() - 1));
        Map<Endpoint, EndpointRole> changes = new HashMap<>();
        for (int index = 0; index < order.size(); index++) {
            EndpointRole role = index < wanted ? EndpointRole.DECODE : EndpointRole.PREFILL;
            if (order.get(index).role() != role) {
                changes.put(order.get(index), role);
            }
        }
        return changes;
    }
}
