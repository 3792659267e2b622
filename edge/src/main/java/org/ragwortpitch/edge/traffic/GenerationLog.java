package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.function.UnaryOperator;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.Placement;

/**
 * Logs the placement of a generation, its prefill and its retries.
 */
final class GenerationLog {

    private static final Logger LOGGER = System.getLogger(GenerationLog.class.getName());

    private final String attemptId;
    private final UnaryOperator<Event> describeBudget;

    /**
     * Creates the log of a request.
     *
     * @param describeBudget adds the state of the retry budget to a line
     */
    GenerationLog(String attemptId, UnaryOperator<Event> describeBudget) {
        this.attemptId = attemptId;
        this.describeBudget = describeBudget;
    }

    /**
     * Logs a placement.
     *
     * @param resumedAttempt the attempt that began the stream which the request takes up; null if it names none
     * @param afterEvent     the last event of the stream so far
     */
    void placed(Placement placement, Generation generation, String resumedAttempt, long afterEvent) {
        EngineState decodeEngine = placement.decodeEngine();
        String prefillEngineId = placement
                .prefillEngine()
                .map(engine -> engine.endpoint().id().value())
                .orElse("-");
        event("placed")
                .with("decoder", decodeEngine.endpoint().id())
                .with("reader", prefillEngineId)
                .with("estimate-millis", (long) placement.firstEventMillis())
                .with("prompt", generation.promptTokens())
                .with("cached", decodeEngine.cache().cachedTokens(generation.parts()))
                .with("running", decodeEngine.totalRunning())
                .with("reading", decodeEngine.totalPrefillTokens())
                .with("version", decodeEngine.endpoint().version())
                .with("resumes", resumedAttempt == null ? "-" : resumedAttempt)
                .with("after", afterEvent)
                .info(LOGGER);
    }

    void prefilled(EndpointState prefillEngine, long millis, long uncachedTokens, double estimateMillis) {
        event("prompt-read")
                .with("reader", prefillEngine.endpoint().id())
                .with("millis", millis)
                .with("uncached", uncachedTokens)
                .with("estimate-millis", (long) estimateMillis)
                .with("running", prefillEngine.engine().totalRunning())
                .info(LOGGER);
    }

    void retry(String reason, long afterEvent, boolean allowed) {
        describeBudget
                .apply(event("send-again")
                        .with("reason", reason)
                        .with("after", afterEvent)
                        .with("allowed", allowed))
                .info(LOGGER);
    }

    void transferredElsewhere(String reason, EndpointState decodeEngine) {
        describeBudget
                .apply(event("hand-over-elsewhere")
                        .with("reason", reason)
                        .with("decoder", decodeEngine.endpoint().id()))
                .info(LOGGER);
    }

    private Event event(String name) {
        return Event.of(name).with("request", attemptId);
    }
}
