package org.ragwortpitch.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Graph;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Source;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.Ran;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineRequest;
import org.ragwortpitch.identity.EndpointId;

/**
 * One run of a model for one caller: attempts at endpoints, each resumed from the tokens that the caller has, until the
 * finish comes or no attempt is left. Used by one stream.
 */
public final class ModelRun {

    /**
     * The most attempts.
     */
    private static final int MAX_ATTEMPTS = 3;

    /**
     * When a caller should try again after the last attempt failed, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * The parts of the daemon that runs use.
     */
    private final RunParts parts;

    /**
     * What to run.
     */
    private final RunSpec spec;

    /**
     * Checks the answer.
     */
    private final AnswerCheck check = new AnswerCheck();

    /**
     * The endpoints that failed.
     */
    private final Set<EndpointId> failed = new HashSet<>();

    /**
     * How many attempts were begun.
     */
    private int attempts;

    /**
     * Whether an attempt was sent to an endpoint.
     */
    private boolean sent;

    /**
     * Makes a run.
     *
     * @param parts the parts of the daemon that runs use
     * @param spec  what to run
     */
    public ModelRun(RunParts parts, RunSpec spec) {
        this.parts = parts;
        this.spec = spec;
    }

    /**
     * Runs.
     *
     * @return the tokens and the finish, each once and in order; fails with {@link RefusedException}
     */
    public Source<EngineEvent, NotUsed> events() {
        return attempt()
                .recoverWithRetries(
                        MAX_ATTEMPTS,
                        new PFBuilder<Throwable, Graph<SourceShape<EngineEvent>, NotUsed>>()
                                .match(Throwable.class, failure -> !(failure instanceof RefusedException), this::next)
                                .build());
    }

    /**
     * Counts the tokens that the caller has or is about to get.
     *
     * @return the count
     */
    public int tokens() {
        return check.size();
    }

    /**
     * Makes an attempt.
     *
     * @return its events
     */
    private Source<EngineEvent, NotUsed> attempt() {
        attempts++;
        AttemptId id = new AttemptId(spec.request(), attempts);
        check.begin(id);
        long askedNanos = System.nanoTime();
        DispatchRequest wish = new DispatchRequest(
                spec.pool(),
                spec.account(),
                spec.weight(),
                spec.priority(),
                spec.demand(),
                false,
                failed,
                spec.deadlineMillis(),
                new CompletableFuture<>());
        parts.dispatcher().ask(wish);
        return Source.completionStageSource(wish.slot().thenApply(slot -> send(id, slot, askedNanos)))
                .mapConcat(check::take)
                .concatLazy(Source.lazySource(this::finishOrTruncated))
                .watchTermination((ignored, done) -> {
                    done.whenComplete((end, failure) -> release(wish, failure));
                    return NotUsed.getInstance();
                });
    }

    /**
     * Sends an attempt.
     *
     * @param id         the attempt
     * @param slot       the endpoint
     * @param askedNanos when the endpoint was asked for, in nanoseconds
     * @return the endpoint's events
     */
    private Source<EngineEvent, NotUsed> send(AttemptId id, Slot slot, long askedNanos) {
        parts.metrics().queueWait(spec.account(), spec.requestClass(), System.nanoTime() - askedNanos);
        sent = true;
        EngineRequest request = new EngineRequest(
                id, spec.pool().id().value(), spec.prompt(), spec.maxOutputTokens(), spec.priority(), check.tokens());
        return parts.engines().of(slot.endpoint()).run(request).map(event -> {
            slot.prefilled();
            return event;
        });
    }

    /**
     * Ends an attempt that gave no failure: well if the finish has come.
     *
     * @return nothing, or the failure
     */
    private Source<EngineEvent, NotUsed> finishOrTruncated() {
        return check.isFinished() ? Source.empty() : Source.failed(new BadAnswerException(AnswerFault.TRUNCATED));
    }

    /**
     * Gives back what an attempt holds or waits for.
     *
     * @param wish    the wish for an endpoint
     * @param failure why the attempt failed; null if it did not
     */
    private void release(DispatchRequest wish, Throwable failure) {
        parts.dispatcher().withdraw(wish);
        wish.slot().completeExceptionally(new IllegalStateException("no longer wanted"));
        wish.slot().thenAccept(slot -> {
            if (failure != null) {
                failed.add(slot.endpoint().id());
            } else {
                parts.budget().earn();
            }
            slot.release(failure != null);
        });
    }

    /**
     * Decides what follows a failed attempt.
     *
     * @param failure the failure
     * @return another attempt, or the refusal
     */
    private Source<EngineEvent, NotUsed> next(Throwable failure) {
        Throwable cause = failure instanceof java.util.concurrent.CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusedException) {
            return Source.failed(cause);
        }
        boolean inTime = parts.clocks().nowMillis() < spec.deadlineMillis();
        if (check.isFinished()
                || attempts >= MAX_ATTEMPTS
                || !inTime
                || !parts.budget().tryRetry()) {
            return Source.failed(refusal(cause));
        }
        parts.metrics()
                .retried(
                        cause instanceof BadAnswerException bad
                                ? bad.fault().name().toLowerCase(java.util.Locale.ROOT)
                                : "endpoint_failed");
        return attempt();
    }

    /**
     * Makes the refusal after the last attempt.
     *
     * @param cause why it failed
     * @return the refusal
     */
    private RefusedException refusal(Throwable cause) {
        Ran ran = check.size() > 0 ? Ran.YES : sent ? Ran.UNKNOWN : Ran.NO;
        return new RefusedException(
                ErrorKind.ENDPOINT_FAILED,
                ran,
                RETRY_AFTER_MILLIS,
                "the endpoint failed after " + check.size() + " tokens and " + attempts + " attempts ("
                        + cause.getMessage() + "): send the request again");
    }
}
