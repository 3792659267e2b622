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
import org.ragwortpitch.endpoint.Engine;
import org.ragwortpitch.identity.EndpointId;

/**
 * Asks engines for their load and their cache events. Used by one thread.
 */
public final class LoadPoller {

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * Supplies the engines.
     */
    private final Engines engines;

    /**
     * Takes what the engines tell.
     */
    private final Dispatcher dispatcher;

    /**
     * Sends messages to the control thread.
     */
    private final Consumer<ControlMessage> control;

    /**
     * The next cache event of each engine.
     */
    private final Map<EndpointId, Long> nextEvents = new java.util.concurrent.ConcurrentHashMap<>();

    /**
     * Makes a poller.
     *
     * @param clocks     the clocks
     * @param engines    supplies the engines
     * @param dispatcher takes what the engines tell
     * @param control    sends messages to the control thread
     */
    public LoadPoller(Clocks clocks, Engines engines, Dispatcher dispatcher, Consumer<ControlMessage> control) {
        this.control = control;
        this.clocks = clocks;
        this.engines = engines;
        this.dispatcher = dispatcher;
    }

    /**
     * Asks all engines.
     *
     * @param rules the rules in force
     */
    public void poll(Configuration rules) {
        Map<EndpointId, EndpointRule> models = new HashMap<>();
        for (EndpointRule endpoint : rules.endpoints()) {
            boolean model = rules.pool(endpoint.pool())
                    .filter(pool -> pool.kind() == PoolKind.MODEL)
                    .isPresent();
            if (model) {
                models.put(endpoint.id(), endpoint);
            }
        }
        nextEvents.keySet().retainAll(models.keySet());
        models.values().forEach(this::ask);
    }

    /**
     * Asks an engine.
     *
     * @param endpoint the engine's rule
     */
    private void ask(EndpointRule endpoint) {
        long askedMillis = clocks.nowMillis();
        Engine engine = engines.of(endpoint);
        dispatcher.reportAsked(endpoint.id());
        engine.load().thenAccept(report -> {
            dispatcher.reported(endpoint.id(), report, askedMillis);
            control.accept(new EndpointReported(endpoint.id(), report));
        });
        engine.cacheEvents(nextEvents.getOrDefault(endpoint.id(), 0L)).thenAccept(events -> {
            nextEvents.put(endpoint.id(), events.nextSequence());
            dispatcher.cacheEvents(endpoint.id(), events.events());
        });
    }
}
