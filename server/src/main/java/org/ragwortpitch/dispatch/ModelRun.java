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
import org.ragwortpitch.platform.PlatformException;
import org.ragwortpitch.platform.PlatformFailure;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.suspect.SuspectBook;
import org.ragwortpitch.suspect.Suspicion;

/**
 * One run of a model for one caller: attempts at endpoints, each resumed from the tokens that the caller has, until the
 * finish comes or no attempt is left. Used by one stream.
 */
public final class ModelRun {

    /**
     * The most attempts that may have run.
     */
    private static final int MAX_RUNS = 3;

    /**
     * The most attempts, those that endpoints refused included.
     */
    private static final int MAX_ATTEMPTS = 10;

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
     * Tells the request's content.
     */
    private final Fingerprint fingerprint;

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
     * How many attempts failed after they may have run.
     */
    private int runs;

    /**
     * Whether an attempt may have run on an endpoint.
     */
    private boolean reached;

    /**
     * Makes a run.
     *
     * @param parts the parts of the daemon that runs use
     * @param spec  what to run
     */
    public ModelRun(RunParts parts, RunSpec spec) {
        this.parts = parts;
        this.spec = spec;
        this.fingerprint = Fingerprint.of(spec.pool().id().value(), spec.prompt());
    }

    /**
     * Runs.
     *
     * @return the tokens and the finish, each once and in order; fails with {@link RefusedException}
     */
    public Source<EngineEvent, NotUsed> events() {
        if (parts.suspects().suspicion(fingerprint) == Suspicion.REFUSED) {
            return Source.failed(crashes(Ran.NO));
        }
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
                parts.suspects().suspicion(fingerprint) == Suspicion.SUSPECT,
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
            if (check.isFinished()) {
                parts.suspects().finished(fingerprint);
            }
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
        boolean refused = cause instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        reached |= !refused;
        runs += refused ? 0 : 1;
        if (cause instanceof PlatformException platform && platform.failure() == PlatformFailure.NO_ANSWER) {
            parts.suspects().crashed(fingerprint);
        }
        if (parts.suspects().suspicion(fingerprint) == Suspicion.REFUSED) {
            return Source.failed(crashes(Ran.YES));
        }
        boolean inTime = parts.clocks().nowMillis() < spec.deadlineMillis();
        boolean spent = attempts >= MAX_ATTEMPTS || runs >= MAX_RUNS;
        if (check.isFinished() || spent || !inTime || !parts.budget().tryRetry()) {
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
     * Makes the refusal of a request that crashes endpoints.
     *
     * @param ran whether it ran this time
     * @return the refusal
     */
    private static RefusedException crashes(Ran ran) {
        return new RefusedException(
                ErrorKind.CRASHES_ENDPOINTS,
                ran,
                0,
                "endpoints crashed while they ran a request of this content; it is not run again for "
                        + SuspectBook.KEPT_MILLIS / 60_000 + " minutes: change it");
    }

    /**
     * Makes the refusal after the last attempt.
     *
     * @param cause why it failed
     * @return the refusal
     */
    private RefusedException refusal(Throwable cause) {
        Ran ran = check.size() > 0 ? Ran.YES : reached ? Ran.UNKNOWN : Ran.NO;
        return new RefusedException(
                ErrorKind.ENDPOINT_FAILED,
                ran,
                RETRY_AFTER_MILLIS,
                "the endpoint failed after " + check.size() + " tokens and " + attempts + " attempts ("
                        + cause.getMessage() + "): send the request again");
    }
}
