package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.contract.EngineForm;
import org.ragwortpitch.contract.EngineReport;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.RolePlan;

/**
 * The holder's part of roles: orders engines to make tokens or to read prompts. Confined to the control thread.
 */
final class RoleDesk {

    private static final Logger LOGGER = System.getLogger(RoleDesk.class.getName());

    private static final int ACCEPTED = 202;

    /** How long an engine's answer to an order may take, in milliseconds. */
    private static final long ANSWER_MILLIS = 1_500;

    /** Until when an order that got no answer may still be carried out, in milliseconds; no other is given before. */
    private static final long LATE_MILLIS = 13_000;

    /** For how long after it came an engine counts as without streams, in milliseconds. */
    private static final long FRESH_MILLIS = 3_000;

    /** The pause before an engine is asked again, in milliseconds; its entry takes about that long to show a change. */
    private static final long RETRY_MILLIS = 2_000;

    private final HttpCaller caller;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<EndpointId, Long> firstSeenMillis = new HashMap<>();
    private final Map<EndpointId, Long> changingUntilMillis = new HashMap<>();
    private final Map<EndpointId, Long> quietUntilMillis = new HashMap<>();

    RoleDesk(HttpCaller caller, InstanceId self, LongSupplier clockMillis) {
        this.caller = caller;
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders what the plan says and isn't so.
     *
     * @param wanted the engines that have to make tokens
     */
    void step(long fencingToken, PoolId pool, EngineSpec spec, Collection<Endpoint> endpoints, int wanted) {
        long now = clockMillis.getAsLong();
        quietUntilMillis.values().removeIf(until -> until <= now);
        changingUntilMillis.values().removeIf(until -> until <= now);
        firstSeenMillis.keySet().retainAll(endpoints.stream().map(Endpoint::id).collect(Collectors.toSet()));
        List<Endpoint> engines = endpoints.stream()
                .filter(engine -> engine.pool().equals(pool) && !engine.leaving())
                .toList();
        if (engines.stream().noneMatch(Endpoint::reclaimable)) {
            return;
        }
        long decoding = engines.stream()
                .filter(engine -> engine.role() == EndpointRole.DECODE && !quietUntilMillis.containsKey(engine.id()))
                .count();
        for (Map.Entry<Endpoint, EndpointRole> change : RolePlan.changes(
                        engines, wanted, engine -> isFresh(engine, now))
                .entrySet()) {
            Endpoint engine = change.getKey();
            boolean keepsDecoding = change.getValue() == EndpointRole.PREFILL && decoding <= wanted;
            if (!quietUntilMillis.containsKey(engine.id()) && !keepsDecoding) {
                decoding -= change.getValue() == EndpointRole.PREFILL ? 1 : 0;
                order(fencingToken, engine, change.getValue(), spec.roleSwitchMillis(), now);
            }
        }
    }

    /**
     * Tells the engines that change now.
     */
    Set<EndpointId> changing() {
        return Set.copyOf(changingUntilMillis.keySet());
    }

    private boolean isFresh(Endpoint engine, long now) {
        return now - firstSeenMillis.computeIfAbsent(engine.id(), id -> now) < FRESH_MILLIS;
    }

    private void order(long fencingToken, Endpoint engine, EndpointRole role, long switchMillis, long now) {
        quietUntilMillis.put(engine.id(), now + RETRY_MILLIS);
        caller.call(
                engine.address(),
                EngineForm.report(),
                ANSWER_MILLIS,
                answer -> {
                    try {
                        EngineReport report = EngineForm.engineReport(answer.body());
                        if (!report.changing()) {
                            send(fencingToken, engine, role, switchMillis, report.acceptedOrders());
                        }
                    } catch (FormException exception) {
                        log(engine, role, fencingToken, exception.getMessage());
                    }
                },
                breakage -> log(engine, role, fencingToken, breakage.reason()));
    }

    private void send(long fencingToken, Endpoint engine, EndpointRole role, long switchMillis, long acceptedOrders) {
        quietUntilMillis.put(engine.id(), clockMillis.getAsLong() + LATE_MILLIS);
        caller.call(
                engine.address(),
                EngineForm.roleOrder(engine.id(), role, self, fencingToken, acceptedOrders),
                ANSWER_MILLIS,
                answer -> {
                    long answered = clockMillis.getAsLong();
                    quietUntilMillis.put(engine.id(), answered + switchMillis + RETRY_MILLIS);
                    if (answer.status() == ACCEPTED) {
                        changingUntilMillis.put(engine.id(), answered + switchMillis);
                    }
                    log(engine, role, fencingToken, "status " + answer.status());
                },
                breakage -> log(engine, role, fencingToken, breakage.reason()));
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
