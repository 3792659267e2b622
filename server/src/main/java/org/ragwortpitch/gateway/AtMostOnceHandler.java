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
 * Handles service calls that run at most once under an idempotency key. The start of each operation is first appended
 * to the control log; only the daemon whose record comes first sends the call, and sends it once. Repetitions of the
 * call get the recorded outcome.
 */
final class AtMostOnceHandler {

    /**
     * The timeout for recording a start, and the retry delay to suggest after it, in milliseconds.
     */
    private static final long START_TIMEOUT_MILLIS = 5_000;

    /**
     * The largest response body that is stored with an outcome, in bytes.
     */
    private static final int MAX_STORED_BODY_BYTES = 64 * 1024;

    /**
     * How far the timestamp of a key may lie in the future, in milliseconds.
     */
    private static final long MAX_FUTURE_MILLIS = OperationReducer.MAX_CLOCK_SKEW_MILLIS;

    private final GatewayParts parts;

    private final ServiceHandler services;

    private final Consumer<ControlMessage> control;

    AtMostOnceHandler(GatewayParts parts, ServiceHandler services, Consumer<ControlMessage> control) {
        this.parts = parts;
        this.services = services;
        this.control = control;
    }

    /**
     * Handles a call.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param request the request
     * @param call    the call
     * @return the response; fails with {@link RefusedException}
     */
    CompletionStage<HttpResponse> answer(CallContext context, PoolRule pool, HttpRequest request, ServiceCall call) {
        OperationKey key;
        try {
            key = new OperationKey(context.accountId(), readOperationId(request));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
        return services.admit(context).thenCompose(reservation -> services.acquireSlot(context, pool, true, Set.of())
                .thenCompose(slot -> run(context, pool, key, call, slot))
                .whenComplete((response, failure) -> reservation.settle(new QuotaAmount(0, 1))));
    }

    /**
     * Reads the operation's id from the idempotency key, a UUID of version 7. A key older than the retention of
     * operations is refused, since the record of an earlier use may be gone; the limit leaves twice the maximum
     * clock skew between daemons.
     */
    private OperationId readOperationId(HttpRequest request) throws RefusedException {
        String idempotencyKey =
                RequestAuthenticator.header(request, "idempotency-key").orElse("");
        UUID uuid;
        try {
            uuid = UUID.fromString(idempotencyKey);
        } catch (IllegalArgumentException exception) {
            uuid = null;
        }
        if (uuid == null || uuid.version() != 7 || !uuid.toString().equalsIgnoreCase(idempotencyKey)) {
            throw RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the call runs at most once: send a header 'Idempotency-Key' with a UUID of version 7, a new one "
                            + "for each operation and the same one for its retries");
        }
        long createdMillis = uuid.getMostSignificantBits() >>> 16;
        long ageMillis = parts.clocks().epochMillis() - createdMillis;
        long maxAgeMillis = OperationReducer.RETENTION_MILLIS - 2 * OperationReducer.MAX_CLOCK_SKEW_MILLIS;
        if (ageMillis > maxAgeMillis || ageMillis < -MAX_FUTURE_MILLIS) {
            throw RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the idempotency key was created more than " + maxAgeMillis / 1000
                            + " s ago or in the future: check "
                            + "the outcome of the operation before you repeat it under a new key");
        }
        return new OperationId(uuid.toString());
    }

    /**
     * Records the start of the operation, and sends the call if no start was recorded before.
     */
    private CompletionStage<HttpResponse> run(
            CallContext context, PoolRule pool, OperationKey key, ServiceCall call, Slot slot) {
        CompletableFuture<OperationRecord> started = new CompletableFuture<>();
        control.accept(new StartOperation(key, started));
        return started.orTimeout(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(startFailure(failure)))
                .whenComplete((record, failure) -> {
                    if (failure != null || record.outcome() != null) {
                        slot.release(false);
                    }
                })
                .thenCompose(record -> record.outcome() == null
                        ? send(context, pool, key, call, slot)
                        : CompletableFuture.completedFuture(record.outcome()))
                .thenCompose(outcome -> toResponse(context, pool, outcome));
    }

    private static RefusedException startFailure(Throwable failure) {
        RefusedException refused = ErrorAnswers.refusalOf(failure);
        return refused.kind() == ErrorKind.TIMED_OUT
                ? RefusedException.notRunRetryAfter(
                        ErrorKind.UNAVAILABLE,
                        START_TIMEOUT_MILLIS,
                        "timed out recording the start of the operation, which was not sent: try again with the "
                                + "same idempotency key")
                : refused;
    }

    /**
     * Sends the call, once, and records the outcome.
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
                outcome = ServiceHandler.toExchangeException(failure).isPossiblySent()
                        ? OperationOutcome.UNKNOWN
                        : OperationOutcome.NOT_RUN;
            }
            control.accept(new EndOperation(key, withoutOversizedBody(outcome)));
            return outcome;
        });
    }

    /**
     * Drops a body that is too large to store. The body is in Base64, which takes 4 characters for 3 bytes.
     */
    private static OperationOutcome withoutOversizedBody(OperationOutcome outcome) {
        boolean oversized = outcome.body().length() > MAX_STORED_BODY_BYTES * 4 / 3 + 4;
        return oversized ? new OperationOutcome(outcome.kind(), outcome.status(), outcome.contentType(), "") : outcome;
    }

    private CompletionStage<HttpResponse> toResponse(CallContext context, PoolRule pool, OperationOutcome outcome) {
        switch (outcome.kind()) {
            case ANSWERED:
                ByteString body = ByteString.fromArray(Base64.getDecoder().decode(outcome.body()));
                return services.recordUsage(
                        context, pool, new ServiceReply(outcome.status(), outcome.contentType(), body));
            case NOT_RUN:
                return CompletableFuture.failedFuture(RefusedException.notRunRetryAfter(
                        ErrorKind.UNAVAILABLE,
                        START_TIMEOUT_MILLIS,
                        "could not connect to the service: try again with the same idempotency key"));
            default:
                return CompletableFuture.failedFuture(new RefusedException(
                        ErrorKind.ENDPOINT_FAILED,
                        ExecutionState.UNKNOWN,
                        0,
                        "the operation was sent but got no complete response; it is not resent: check its outcome"));
        }
    }
}
