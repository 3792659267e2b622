package org.ragwortpitch.gateway;

import java.util.Base64;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.EndOperation;
import org.ragwortpitch.control.StartOperation;
import org.ragwortpitch.dispatch.Slot;
import org.ragwortpitch.identity.OperationId;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationOutcome;
import org.ragwortpitch.operation.OperationOutcomeKind;
import org.ragwortpitch.operation.OperationRecord;
import org.ragwortpitch.operation.OperationReducer;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Answers calls that may run at most once. The start of each is recorded first; only the daemon whose record comes
 * first sends the call, and sends it once. Whoever asks again gets the recorded outcome.
 */
final class OnceHandler {

    /**
     * How long the recording of a start may take, in milliseconds.
     */
    private static final long START_MILLIS = 5_000;

    /**
     * The longest body that is kept with an outcome, in bytes.
     */
    private static final int MAX_KEPT_BYTES = 64 * 1024;

    /**
     * By how much an operation's time may lie in the future, in milliseconds.
     */
    private static final long FUTURE_MILLIS = OperationReducer.MAX_CLOCK_SKEW_MILLIS;

    /**
     * The parts of the daemon that the gateway uses.
     */
    private final GatewayParts parts;

    /**
     * Admits, sends and records calls.
     */
    private final ServiceHandler services;

    /**
     * Sends messages to the control thread.
     */
    private final Consumer<ControlMessage> control;

    /**
     * Makes a handler.
     *
     * @param parts    the parts of the daemon that the gateway uses
     * @param services admits, sends and records calls
     * @param control  sends messages to the control thread
     */
    OnceHandler(GatewayParts parts, ServiceHandler services, Consumer<ControlMessage> control) {
        this.parts = parts;
        this.services = services;
        this.control = control;
    }

    /**
     * Answers a call.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param request the request
     * @param call    the call
     * @return the answer; fails with {@link RefusedException}
     */
    CompletionStage<HttpResponse> answer(CallContext context, PoolRule pool, HttpRequest request, ServiceCall call) {
        OperationKey key;
        try {
            key = new OperationKey(context.accountId(), operationOf(request));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
        return services.admit(context).thenCompose(ticket -> services.slot(context, pool, true, Set.of())
                .thenCompose(slot -> run(context, pool, key, call, slot))
                .whenComplete((response, failure) -> ticket.settle(new QuotaAmount(0, 1))));
    }

    /**
     * Reads the operation's id.
     *
     * @param request the request
     * @return the id
     * @throws RefusedException if there is none, or it is too old to tell whether it was used before
     */
    private OperationId operationOf(HttpRequest request) throws RefusedException {
        String given = Door.header(request, "idempotency-key").orElse("");
        UUID uuid;
        try {
            uuid = UUID.fromString(given);
        } catch (IllegalArgumentException exception) {
            uuid = null;
        }
        if (uuid == null || uuid.version() != 7 || !uuid.toString().equalsIgnoreCase(given)) {
            throw RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the call may run at most once: give it a header 'Idempotency-Key' with a UUID of version 7, new "
                            + "for each operation and kept over its repetitions");
        }
        long madeMillis = uuid.getMostSignificantBits() >>> 16;
        long ageMillis = parts.clocks().epochMillis() - madeMillis;
        long keptMillis = OperationReducer.RETENTION_MILLIS - 2 * OperationReducer.MAX_CLOCK_SKEW_MILLIS;
        if (ageMillis > keptMillis || ageMillis < -FUTURE_MILLIS) {
            throw RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the idempotency key was made more than " + keptMillis / 1000 + " s ago or in the future: look "
                            + "the operation up before you make it anew under a new key");
        }
        return new OperationId(uuid.toString());
    }

    /**
     * Records the start of an operation and sends it if that was the first.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param key     the operation
     * @param call    the call
     * @param slot    the endpoint
     * @return the answer; fails with {@link RefusedException}
     */
    private CompletionStage<HttpResponse> run(
            CallContext context, PoolRule pool, OperationKey key, ServiceCall call, Slot slot) {
        CompletableFuture<OperationRecord> started = new CompletableFuture<>();
        control.accept(new StartOperation(key, started));
        return started.orTimeout(START_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(startFailure(failure)))
                .whenComplete((record, failure) -> {
                    if (failure != null || record.outcome() != null) {
                        slot.release(false);
                    }
                })
                .thenCompose(record -> record.outcome() == null
                        ? send(context, pool, key, call, slot)
                        : CompletableFuture.completedFuture(record.outcome()))
                .thenCompose(outcome -> told(context, pool, outcome));
    }

    /**
     * Tells why a start was not recorded in time.
     *
     * @param failure the failure
     * @return the refusal
     */
    private static RefusedException startFailure(Throwable failure) {
        RefusedException refused = ErrorAnswers.refusalOf(failure);
        return refused.kind() == ErrorKind.TIMED_OUT
                ? RefusedException.notRunRetryAfter(
                        ErrorKind.UNAVAILABLE,
                        START_MILLIS,
                        "the start of the operation was not recorded in time and it was not sent: try again with the "
                                + "same idempotency key")
                : refused;
    }

    /**
     * Sends an operation, once, and records its outcome.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param key     the operation
     * @param call    the call
     * @param slot    the endpoint
     * @return the outcome
     */
    private CompletionStage<OperationOutcome> send(
            CallContext context, PoolRule pool, OperationKey key, ServiceCall call, Slot slot) {
        return services.send(context, call, slot).handle((reply, failure) -> {
            OperationOutcome outcome;
            if (failure == null) {
                outcome = new OperationOutcome(
                        OperationOutcomeKind.ANSWERED,
                        reply.status(),
                        reply.contentType(),
                        Base64.getEncoder().encodeToString(reply.body().toArray()));
            } else {
                outcome = ServiceHandler.exchangeFailure(failure).isSent()
                        ? OperationOutcome.UNKNOWN
                        : OperationOutcome.NOT_RUN;
            }
            control.accept(new EndOperation(key, kept(outcome)));
            return outcome;
        });
    }

    /**
     * Drops a body that is too long to be kept.
     *
     * @param outcome the outcome
     * @return the outcome as it is kept
     */
    private static OperationOutcome kept(OperationOutcome outcome) {
        boolean tooLong = outcome.body().length() > MAX_KEPT_BYTES * 4 / 3 + 4;
        return tooLong ? new OperationOutcome(outcome.kind(), outcome.status(), outcome.contentType(), "") : outcome;
    }

    /**
     * Tells an outcome to the caller.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param outcome the outcome
     * @return the answer; fails with {@link RefusedException}
     */
    private CompletionStage<HttpResponse> told(CallContext context, PoolRule pool, OperationOutcome outcome) {
        switch (outcome.kind()) {
            case ANSWERED:
                ByteString body = ByteString.fromArray(Base64.getDecoder().decode(outcome.body()));
                return services.recorded(
                        context, pool, new ServiceReply(outcome.status(), outcome.contentType(), body));
            case NOT_RUN:
                return CompletableFuture.failedFuture(RefusedException.notRunRetryAfter(
                        ErrorKind.UNAVAILABLE,
                        START_MILLIS,
                        "no service could be reached: try again with the same idempotency key"));
            default:
                return CompletableFuture.failedFuture(new RefusedException(
                        ErrorKind.ENDPOINT_FAILED,
                        ExecutionState.UNKNOWN,
                        0,
                        "the operation was sent and no whole answer came back; it is not sent again: look it up"));
        }
    }
}
