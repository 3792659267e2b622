package org.ragwortpitch.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.configuration.PoolKind;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.EndpointReported;
import org.ragwortpitch.endpoint.EngineClient;
import org.ragwortpitch.identity.EndpointId;

/**
 * Polls engines for their load and their prefix cache events. Polled from one thread; responses arrive on other
 * threads.
 */
public final class LoadPoller {

    private final Clocks clocks;

    private final EngineClients engines;

    /**
     * Receives load reports and cache events.
     */
    private final Dispatcher dispatcher;

    /**
     * Sends messages to the control thread.
     */
    private final Consumer<ControlMessage> control;

    /**
     * The sequence number of the next cache event to request from each engine.
     */
    private final Map<EndpointId, Long> nextSequences = new java.util.concurrent.ConcurrentHashMap<>();

    /**
     * Creates a poller.
     *
     * @param clocks     the clocks
     * @param engines    supplies the clients of engines
     * @param dispatcher receives load reports and cache events
     * @param control    sends messages to the control thread
     */
    public LoadPoller(Clocks clocks, EngineClients engines, Dispatcher dispatcher, Consumer<ControlMessage> control) {
        this.control = control;
        this.clocks = clocks;
        this.engines = engines;
        this.dispatcher = dispatcher;
    }

    /**
     * Polls the engines of all model pools, without waiting for their responses.
     */
    public void poll(Configuration rules) {
        Map<EndpointId, EndpointRule> modelEndpoints = new HashMap<>();
        for (EndpointRule endpoint : rules.endpoints()) {
            boolean model = rules.pool(endpoint.pool())
                    .filter(pool -> pool.kind() == PoolKind.MODEL)
                    .isPresent();
            if (model) {
                modelEndpoints.put(endpoint.id(), endpoint);
            }
        }
        nextSequences.keySet().retainAll(modelEndpoints.keySet());
        modelEndpoints.values().forEach(this::pollEngine);
    }

    private void pollEngine(EndpointRule endpoint) {
        long requestedAtMillis = clocks.nowMillis();
        EngineClient engine = engines.of(endpoint);
        dispatcher.reportRequested(endpoint.id());
        engine.load().thenAccept(report -> {
            dispatcher.reported(endpoint.id(), report, requestedAtMillis);
            control.accept(new EndpointReported(endpoint.id(), report));
        });
        engine.cacheEvents(nextSequences.getOrDefault(endpoint.id(), 0L)).thenAccept(events -> {
            nextSequences.put(endpoint.id(), events.nextSequence());
            dispatcher.cacheEvents(endpoint.id(), events.events());
        });
    }
}
