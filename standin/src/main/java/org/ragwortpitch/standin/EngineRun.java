package org.ragwortpitch.standin;

import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineRequest;

/**
 * An attempt that runs on an engine stand-in. Guarded by the engine's lock, except for {@link #cancel}.
 */
final class EngineRun {

    private final EngineRequest request;

    private final SourceQueueWithComplete<EngineEvent> events;

    /**
     * Prompt tokens found in the prefix cache.
     */
    private final int cachedTokens;

    private int remainingPrefillTokens;

    /**
     * Index of the next output token.
     */
    private int nextIndex;

    private volatile boolean cancelled;

    /**
     * Creates a run.
     *
     * @param request      the request, which may resume after tokens that an earlier attempt generated
     * @param cachedTokens the prompt tokens found in the prefix cache
     * @param events       receives the run's events
     */
    EngineRun(EngineRequest request, int cachedTokens, SourceQueueWithComplete<EngineEvent> events) {
        this.request = request;
        this.cachedTokens = cachedTokens;
        this.events = events;
        this.remainingPrefillTokens = Math.max(0, StandinText.promptTokens(request.prompt()) - cachedTokens);
        this.nextIndex = request.resumed().size();
    }

    EngineRequest request() {
        return request;
    }

    /**
     * Prefills part of the prompt.
     *
     * @param budgetTokens the most tokens to prefill
     * @return the tokens prefilled
     */
    int prefill(int budgetTokens) {
        int prefilled = Math.min(budgetTokens, remainingPrefillTokens);
        remainingPrefillTokens -= prefilled;
        return prefilled;
    }

    /**
     * Emits the next token, or the finish event.
     *
     * @param fault the fault to show
     * @return whether the run goes on
     */
    boolean step(EngineFault fault) {
        int half = request.maxOutputTokens() / 2;
        if (nextIndex >= half && fault == EngineFault.TRUNCATE) {
            events.complete();
            return false;
        }
        if (nextIndex >= half && fault == EngineFault.BREAK) {
            events.fail(new IllegalStateException("injected fault: connection broken"));
            return false;
        }
        if (nextIndex >= request.maxOutputTokens()) {
            events.offer(finish());
            events.complete();
            return false;
        }
        if (nextIndex == half && fault == EngineFault.CROSS) {
            events.offer(new EngineEvent(
                    new org.ragwortpitch.endpoint.AttemptId(new org.ragwortpitch.identity.RequestId("another"), 1),
                    nextIndex,
                    "crossed ",
                    "",
                    0,
                    0));
        }
        String text = StandinText.token(request.prompt(), nextIndex);
        EngineEvent token = new EngineEvent(request.id(), nextIndex, text, "", 0, 0);
        events.offer(token);
        if (fault == EngineFault.DOUBLE) {
            events.offer(token);
        }
        nextIndex++;
        return true;
    }

    private EngineEvent finish() {
        int promptTokens = StandinText.promptTokens(request.prompt());
        return new EngineEvent(request.id(), nextIndex, "", "length", promptTokens, cachedTokens);
    }

    boolean isPrefilled() {
        return remainingPrefillTokens == 0;
    }

    int remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    /**
     * Fails the response, as a crash of the engine does.
     */
    void crash() {
        events.fail(new IllegalStateException("the engine crashed"));
    }

    /**
     * Cancels the run and ends its response; the engine removes it in its next step.
     */
    void cancel() {
        cancelled = true;
        events.complete();
    }

    boolean isCancelled() {
        return cancelled;
    }
}
