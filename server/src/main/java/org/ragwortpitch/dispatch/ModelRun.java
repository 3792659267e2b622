package org.ragwortpitch.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Graph;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Source;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineRequest;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.platform.PlatformException;
import org.ragwortpitch.platform.PlatformFailure;
import org.ragwortpitch.poison.Fingerprint;
import org.ragwortpitch.poison.PoisonRequestTracker;
import org.ragwortpitch.poison.Suspicion;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Runs a model for one caller: a sequence of attempts at endpoints, each resumed after the tokens that the caller
 * already has, until the finish event arrives or no attempt is left. Confined to one stream.
 */
public final class ModelRun {

    /**
     * The maximum number of failed attempts that an endpoint may have run.
     */
    private static final int MAX_EXECUTED_ATTEMPTS = 3;

    /**
     * The maximum number of attempts, including those that endpoints refused.
     */
    private static final int MAX_ATTEMPTS = 10;

    /**
     * When the caller should retry after the last attempt failed, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ModelRunContext context;

    private final ModelRunSpec spec;

    /**
     * Identifies the content of the request.
     */
    private final Fingerprint fingerprint;

    private final EventSequenceValidator validator = new EventSequenceValidator();

    private final Set<EndpointId> failed = new HashSet<>();

    private int attempts;

    /**
     * The number of failed attempts that an endpoint may have run.
     */
    private int executedAttempts;

    private boolean mayHaveRun;

    /**
     * Creates a run; {@link #events} starts it.
     */
    public ModelRun(ModelRunContext context, ModelRunSpec spec) {
        this.context = context;
        this.spec = spec;
        this.fingerprint = Fingerprint.of(spec.pool().id().value(), spec.prompt());
    }

    /**
     * Starts the run.
     *
     * @return the tokens and the finish event, each once and in order; fails with {@link RefusedException}
     */
    public Source<EngineEvent, NotUsed> events() {
        if (context.poisonRequests().suspicion(fingerprint) == Suspicion.REFUSED) {
            return Source.failed(poisonRefusal(ExecutionState.NO));
        }
        return attempt()
                .recoverWithRetries(
                        MAX_ATTEMPTS,
                        new PFBuilder<Throwable, Graph<SourceShape<EngineEvent>, NotUsed>>()
                                .match(
                                        Throwable.class,
                                        failure -> !(failure instanceof RefusedException),
                                        this::retryOrRefuse)
                                .build());
    }

    /**
     * Returns the number of tokens that were emitted to the caller, or are about to be.
     */
    public int tokens() {
        return validator.size();
    }

    /**
     * Starts an attempt.
     *
     * @return its validated events
     */
    private Source<EngineEvent, NotUsed> attempt() {
        attempts++;
        AttemptId id = new AttemptId(spec.request(), attempts);
        validator.begin(id);
        long requestedAtNanos = System.nanoTime();
        DispatchRequest dispatchRequest = new DispatchRequest(
                spec.pool(),
                spec.account(),
                spec.weight(),
                spec.priority(),
                spec.demand(),
                false,
                context.poisonRequests().suspicion(fingerprint) == Suspicion.SUSPECT,
                failed,
                spec.deadlineMillis(),
                new CompletableFuture<>());
        context.dispatcher().submit(dispatchRequest);
        return Source.completionStageSource(dispatchRequest.slot().thenApply(slot -> send(id, slot, requestedAtNanos)))
                .mapConcat(validator::accept)
                .concatLazy(Source.lazySource(this::emptyOrTruncated))
                .watchTermination((ignored, done) -> {
                    done.whenComplete((end, failure) -> release(dispatchRequest, failure));
                    return NotUsed.getInstance();
                });
    }

    /**
     * Sends an attempt to the endpoint of its slot.
     *
     * @param requestedAtNanos when the slot was requested, in nanoseconds
     */
    private Source<EngineEvent, NotUsed> send(AttemptId id, Slot slot, long requestedAtNanos) {
        context.metrics().queueWait(spec.account(), spec.requestClass(), System.nanoTime() - requestedAtNanos);
        EngineRequest request = new EngineRequest(
                id,
                spec.pool().id().value(),
                spec.prompt(),
                spec.maxOutputTokens(),
                spec.priority(),
                validator.tokens());
        return context.engines().of(slot.endpoint()).run(request).map(event -> {
            slot.prefilled();
            return event;
        });
    }

    /**
     * Completes an attempt whose stream ended without a failure: fails unless the finish event has arrived.
     */
    private Source<EngineEvent, NotUsed> emptyOrTruncated() {
        return validator.isFinished()
                ? Source.empty()
                : Source.failed(new InvalidStreamException(StreamFault.TRUNCATED));
    }

    /**
     * Releases the slot of an attempt, or withdraws its request for one.
     *
     * @param failure why the attempt failed; null if it did not
     */
    private void release(DispatchRequest dispatchRequest, Throwable failure) {
        context.dispatcher().withdraw(dispatchRequest);
        dispatchRequest.slot().completeExceptionally(new IllegalStateException("the attempt has ended"));
        dispatchRequest.slot().thenAccept(slot -> {
            if (validator.isFinished()) {
                context.poisonRequests().finished(fingerprint);
            }
            if (failure != null) {
                failed.add(slot.endpoint().id());
            } else {
                context.budget().earn();
            }
            slot.release(failure != null);
        });
    }

    /**
     * Decides what follows a failed attempt.
     *
     * @return the events of another attempt, or the refusal
     */
    private Source<EngineEvent, NotUsed> retryOrRefuse(Throwable failure) {
        Throwable cause = failure instanceof java.util.concurrent.CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusedException) {
            return Source.failed(cause);
        }
        boolean refused = cause instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        mayHaveRun |= !refused;
        executedAttempts += refused ? 0 : 1;
        if (cause instanceof PlatformException platform && platform.failure() == PlatformFailure.NO_ANSWER) {
            context.poisonRequests().crashed(fingerprint);
        }
        if (context.poisonRequests().suspicion(fingerprint) == Suspicion.REFUSED) {
            return Source.failed(poisonRefusal(ExecutionState.YES));
        }
        boolean inTime = context.clocks().nowMillis() < spec.deadlineMillis();
        boolean exhausted = attempts >= MAX_ATTEMPTS || executedAttempts >= MAX_EXECUTED_ATTEMPTS;
        if (validator.isFinished() || exhausted || !inTime || !context.budget().tryRetry()) {
            return Source.failed(refusal(cause));
        }
        context.metrics()
                .retried(
                        cause instanceof InvalidStreamException bad
                                ? bad.fault().name().toLowerCase(java.util.Locale.ROOT)
                                : "endpoint_failed");
        return attempt();
    }

    /**
     * Returns the refusal of a poison request.
     *
     * @param ran whether it was run this time
     */
    private static RefusedException poisonRefusal(ExecutionState ran) {
        return new RefusedException(
                ErrorKind.CRASHES_ENDPOINTS,
                ran,
                0,
                "endpoints crashed while running a request with this content; it is refused for "
                        + PoisonRequestTracker.RETENTION_MILLIS / 60_000 + " minutes: change the request");
    }

    /**
     * Returns the refusal after the last attempt.
     *
     * @param cause why that attempt failed
     */
    private RefusedException refusal(Throwable cause) {
        ExecutionState ran =
                validator.size() > 0 ? ExecutionState.YES : mayHaveRun ? ExecutionState.UNKNOWN : ExecutionState.NO;
        return new RefusedException(
                ErrorKind.ENDPOINT_FAILED,
                ran,
                RETRY_AFTER_MILLIS,
                "the endpoint failed after " + validator.size() + " tokens and " + attempts + " attempts ("
                        + cause.getMessage() + "): send the request again");
    }
}
