package org.ragwortpitch.standin;

import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineRequest;

/**
 * A request that an engine stand-in runs. Used by the engine's thread alone, but for {@link #cancel}.
 */
final class EngineRun {

    /**
     * The request.
     */
    private final EngineRequest request;

    /**
     * Where its events go.
     */
    private final SourceQueueWithComplete<EngineEvent> events;

    /**
     * The prompt tokens found in the prefix cache.
     */
    private final int cachedTokens;

    /**
     * The prompt tokens still to read.
     */
    private int unreadTokens;

    /**
     * The place of the next token.
     */
    private int nextIndex;

    /**
     * Whether the run was cancelled.
     */
    private volatile boolean cancelled;

    /**
     * Makes a run.
     *
     * @param request      the request
     * @param cachedTokens the prompt tokens found in the prefix cache
     * @param events       where its events go
     */
    EngineRun(EngineRequest request, int cachedTokens, SourceQueueWithComplete<EngineEvent> events) {
        this.request = request;
        this.cachedTokens = cachedTokens;
        this.events = events;
        this.unreadTokens = Math.max(0, StandinText.promptTokens(request.prompt()) - cachedTokens);
        this.nextIndex = request.resumed().size();
    }

    /**
     * Tells the request.
     *
     * @return the request
     */
    EngineRequest request() {
        return request;
    }

    /**
     * Reads some of the prompt.
     *
     * @param budgetTokens the most tokens
     * @return the tokens read
     */
    int prefill(int budgetTokens) {
        int read = Math.min(budgetTokens, unreadTokens);
        unreadTokens -= read;
        return read;
    }

    /**
     * Generates a token, or the finish.
     *
     * @param fault what to do wrong
     * @return whether the run goes on
     */
    boolean step(EngineFault fault) {
        int half = request.maxOutputTokens() / 2;
        if (nextIndex >= half && fault == EngineFault.TRUNCATE) {
            events.complete();
            return false;
        }
        if (nextIndex >= half && fault == EngineFault.BREAK) {
            events.fail(new IllegalStateException("broken on purpose"));
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

    /**
     * Makes the finish.
     *
     * @return the event
     */
    private EngineEvent finish() {
        int promptTokens = StandinText.promptTokens(request.prompt());
        return new EngineEvent(request.id(), nextIndex, "", "length", promptTokens, cachedTokens);
    }

    /**
     * Tells whether the prompt is read.
     *
     * @return whether it is
     */
    boolean isPrefilled() {
        return unreadTokens == 0;
    }

    /**
     * Tells how much of the prompt is to read.
     *
     * @return the tokens
     */
    int unreadTokens() {
        return unreadTokens;
    }

    /**
     * Ends the run as a crash does.
     */
    void crash() {
        events.fail(new IllegalStateException("the engine crashed"));
    }

    /**
     * Ends the run at the caller's wish.
     */
    void cancel() {
        cancelled = true;
        events.complete();
    }

    /**
     * Tells whether the run was cancelled.
     *
     * @return whether it was
     */
    boolean isCancelled() {
        return cancelled;
    }
}
