package org.ragwortpitch.edge.control;

import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Duty that sizes the pools of engines and assigns their roles. Confined to the control thread.
 *
 * @param onRoleChanges receives the engines that are switching roles
 */
record EngineDuty(FleetScaler scaler, EngineRoleAssigner assigner, Consumer<Collection<EndpointId>> onRoleChanges) {

    /**
     * Orders what a pool needs now.
     *
     * @param listed    all listed endpoints
     * @param resting   engines that want nothing of this daemon now
     * @param evacuated failure domains whose engines get no orders and carry no load
     */
    void step(
            long fencingToken,
            Pool pool,
            Collection<Endpoint> listed,
            Set<EndpointId> resting,
            Set<FailureDomain> evacuated,
            PoolDemand demand) {
        if (pool.engine().isEmpty()
                || pool.scaling().isEmpty()
                || listed.stream().noneMatch(engine -> engine.pool().equals(pool.id()))) {
            return;
        }
        scaler.step(fencingToken, pool.id(), pool.scaling().get(), listed, evacuated, demand)
                .ifPresent(count -> {
                    assigner.step(
                            fencingToken,
                            pool.id(),
                            pool.engine().get(),
                            listed,
                            resting,
                            evacuated,
                            count.decodeEngines());
                    onRoleChanges.accept(assigner.changing());
                });
    }
}
