package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.EngineCodec;
import org.ragwortpitch.adapter.EngineReport;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.EngineRoleAssignment;

/**
 * Duty that assigns the decode and prefill roles to engines. Confined to the control thread.
 */
final class EngineRoleAssigner {

    private static final Logger LOGGER = System.getLogger(EngineRoleAssigner.class.getName());

    private static final int ACCEPTED = 202;

    /** Timeout of an engine's response, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    /** Time within which an unanswered order may still be carried out, in milliseconds; no other is sent before. */
    private static final long UNANSWERED_ORDER_MILLIS = 13_000;

    /** Time after its listing for which an engine is assumed to have no streams, in milliseconds. */
    private static final long NEW_ENGINE_MILLIS = 3_000;

    /** Pause between orders to one engine, in milliseconds; its entry takes about that long to show a change. */
    private static final long RETRY_MILLIS = 2_000;

    private final BufferingHttpCaller caller;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<EndpointId, Long> firstSeenMillis = new HashMap<>();
    private final Map<EndpointId, Long> changingUntilMillis = new HashMap<>();
    private final Map<EndpointId, Long> blockedUntilMillis = new HashMap<>();

    EngineRoleAssigner(BufferingHttpCaller caller, InstanceId self, LongSupplier clockMillis) {
        this.caller = caller.onNewConnections();
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders engines of a pool to switch roles where the plan differs from their current ones.
     *
     * @param resting       engines that want nothing of this daemon now
     * @param evacuated     failure domains whose engines keep their role, get no orders and count for no role
     * @param decodeEngines how many engines have to decode
     */
    void step(
            long fencingToken,
            PoolId pool,
            EngineSpec spec,
            Collection<Endpoint> endpoints,
            Set<EndpointId> resting,
            Set<FailureDomain> evacuated,
            int decodeEngines) {
        long now = clockMillis.getAsLong();
        blockedUntilMillis.values().removeIf(until -> until <= now);
        changingUntilMillis.values().removeIf(until -> until <= now);
        firstSeenMillis.keySet().retainAll(endpoints.stream().map(Endpoint::id).collect(Collectors.toSet()));
        List<Endpoint> engines = endpoints.stream()
                .filter(engine ->
                        engine.pool().equals(pool) && !engine.leaving() && !evacuated.contains(engine.domain()))
                .toList();
        if (engines.stream().noneMatch(Endpoint::reclaimable)) {
            return;
        }
        long decoding = engines.stream()
                .filter(engine -> engine.role() == EndpointRole.DECODE && !blockedUntilMillis.containsKey(engine.id()))
                .count();
        for (Map.Entry<Endpoint, EndpointRole> change : EngineRoleAssignment.changes(
                        engines, decodeEngines, engine -> isNew(engine, now))
                .entrySet()) {
            Endpoint engine = change.getKey();
            boolean mustKeepDecoding = change.getValue() == EndpointRole.PREFILL && decoding <= decodeEngines;
            boolean mayOrder = !blockedUntilMillis.containsKey(engine.id()) && !resting.contains(engine.id());
            if (mayOrder && !mustKeepDecoding) {
                decoding -= change.getValue() == EndpointRole.PREFILL ? 1 : 0;
                order(fencingToken, engine, change.getValue(), spec.roleSwitchMillis(), now);
            }
        }
    }

    /**
     * Returns the engines that are switching roles.
     */
    Set<EndpointId> changing() {
        return Set.copyOf(changingUntilMillis.keySet());
    }

    private boolean isNew(Endpoint engine, long now) {
        return now - firstSeenMillis.computeIfAbsent(engine.id(), id -> now) < NEW_ENGINE_MILLIS;
    }

    private void order(long fencingToken, Endpoint engine, EndpointRole role, long switchMillis, long now) {
        blockedUntilMillis.put(engine.id(), now + RETRY_MILLIS);
        caller.call(
                engine.address(),
                EngineCodec.report(),
                RESPONSE_TIMEOUT_MILLIS,
                response -> {
                    try {
                        EngineReport report = EngineCodec.engineReport(response.body());
                        if (!report.changing()) {
                            send(fencingToken, engine, role, switchMillis, report.acceptedOrders());
                        }
                    } catch (CodecException exception) {
                        log(engine, role, fencingToken, exception.getMessage());
                    }
                },
                failure -> log(engine, role, fencingToken, failure.reason()));
    }

    private void send(long fencingToken, Endpoint engine, EndpointRole role, long switchMillis, long acceptedOrders) {
        blockedUntilMillis.put(engine.id(), clockMillis.getAsLong() + UNANSWERED_ORDER_MILLIS);
        caller.call(
                engine.address(),
                EngineCodec.roleOrder(engine.id(), role, self, fencingToken, acceptedOrders),
                RESPONSE_TIMEOUT_MILLIS,
                response -> {
                    long answered = clockMillis.getAsLong();
                    blockedUntilMillis.put(engine.id(), answered + switchMillis + RETRY_MILLIS);
                    if (response.status() == ACCEPTED) {
                        changingUntilMillis.put(engine.id(), answered + switchMillis);
                    }
                    log(engine, role, fencingToken, "status " + response.status());
                },
                failure -> log(engine, role, fencingToken, failure.reason()));
    }

    private static void log(Endpoint engine, EndpointRole role, long fencingToken, String outcome) {
        Event.of("role-order")
                .with("endpoint", engine.id())
                .with("role", role)
                .with("fencing-token", fencingToken)
                .with("outcome", outcome)
                .info(LOGGER);
    }
}
