package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.contract.EngineForm;
import org.ragwortpitch.contract.EngineReport;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.RolePlan;

/**
 * The holder's part of roles: orders engines to make tokens or to read prompts. Confined to the control thread.
 */
final class RoleDesk {

    private static final Logger LOGGER = System.getLogger(RoleDesk.class.getName());

    /** How long an engine's answer to an order may take, in milliseconds. */
    private static final long ANSWER_MILLIS = 1_500;

    /** Until when an order that got no answer may still be carried out, in milliseconds; no other is given before. */
    private static final long LATE_MILLIS = 13_000;

    /** The pause before an engine is asked again, in milliseconds; its entry takes about that long to show a change. */
    private static final long RETRY_MILLIS = 2_000;

    private final HttpCaller caller;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<EndpointId, Long> quietUntilMillis = new HashMap<>();

    RoleDesk(HttpCaller caller, InstanceId self, LongSupplier clockMillis) {
        this.caller = caller;
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders what the plan says and isn't so.
     */
    void step(long fencingToken, Deployment deployment, Collection<Endpoint> endpoints) {
        long now = clockMillis.getAsLong();
        quietUntilMillis.values().removeIf(until -> until <= now);
        for (Pool pool : deployment.pools()) {
            if (pool.engine().isPresent()) {
                long switchMillis = pool.engine().get().roleSwitchMillis();
                List<Endpoint> engines = endpoints.stream()
                        .filter(engine -> engine.pool().equals(pool.id()) && !engine.leaving())
                        .toList();
                step(fencingToken, engines, switchMillis, now);
            }
        }
    }

    private void step(long fencingToken, List<Endpoint> engines, long switchMillis, long now) {
        if (engines.stream().noneMatch(Endpoint::reclaimable)) {
            return;
        }
        int wanted = decoders(engines);
        long decoding = engines.stream()
                .filter(engine -> engine.role() == EndpointRole.DECODE && !quietUntilMillis.containsKey(engine.id()))
                .count();
        for (Map.Entry<Endpoint, EndpointRole> change :
                RolePlan.changes(engines, wanted).entrySet()) {
            Endpoint engine = change.getKey();
            boolean keepsDecoding = change.getValue() == EndpointRole.PREFILL && decoding <= wanted;
            if (!quietUntilMillis.containsKey(engine.id()) && !keepsDecoding) {
                decoding -= change.getValue() == EndpointRole.PREFILL ? 1 : 0;
                order(fencingToken, engine, change.getValue(), switchMillis, now);
            }
        }
    }

    /**
     * Has the firm engines make tokens, one in each failure domain.
     */
    private static int decoders(List<Endpoint> engines) {
        int firm = (int) engines.stream().filter(engine -> !engine.reclaimable()).count();
        long domains = engines.stream().map(Endpoint::domain).distinct().count();
        return (int) Math.min(firm, Math.max(2, domains));
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
                    quietUntilMillis.put(engine.id(), clockMillis.getAsLong() + switchMillis + RETRY_MILLIS);
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
