package org.ragwortpitch.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.ragwortpitch.admission.QuotaReservation;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.dispatch.DispatchRequest;
import org.ragwortpitch.dispatch.Slot;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.routing.RequestCost;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Handles idempotent calls of plain services, which may be retried. Also provides admission, endpoint slots, sending
 * and recording of usage to {@link AtMostOnceHandler}.
 */
final class ServiceHandler {

    private static final int MAX_ATTEMPTS = 3;

    /**
     * The retry delay to suggest after the last attempt failed, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final GatewayParts parts;

    private final ServiceClient client;

    ServiceHandler(GatewayParts parts) {
        this.parts = parts;
        this.client = new ServiceClient(parts.system());
    }

    /**
     * Handles an idempotent call.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param call    the call
     * @return the response; fails with {@link RefusedException}
     */
    CompletionStage<HttpResponse> answer(CallContext context, PoolRule pool, ServiceCall call) {
        return admit(context).thenCompose(reservation -> attempt(context, pool, call, 1, false, new HashSet<>())
                .thenCompose(reply -> recordUsage(context, pool, reply))
                .whenComplete((response, failure) -> reservation.settle(new QuotaAmount(0, 1))));
    }

    /**
     * Admits a call within its account's quota of requests.
     *
     * @param context the call's context
     * @return the reservation, which must be settled; fails with {@link RefusedException}
     */
    CompletionStage<QuotaReservation> admit(CallContext context) {
        return context.account()
                .map(account -> parts.admission().admit(account, new QuotaAmount(0, 1)))
                .orElseGet(() -> CompletableFuture.completedFuture(QuotaReservation.unlimited()));
    }

    private CompletionStage<ServiceReply> attempt(
            CallContext context,
            PoolRule pool,
            ServiceCall call,
            int attemptNumber,
            boolean earlierPossiblySent,
            Set<EndpointId> failed) {
        return acquireSlot(context, pool, false, failed).thenCompose(slot -> send(context, call, slot)
                .handle((reply, failure) -> {
                    if (failure == null) {
                        parts.runs().budget().earn();
                        return CompletableFuture.completedFuture(reply);
                    }
                    ExchangeException cause = toExchangeException(failure);
                    boolean possiblySent = earlierPossiblySent || cause.isPossiblySent();
                    failed.add(slot.endpoint().id());
                    boolean beforeDeadline = parts.clocks().nowMillis() < context.deadlineMillis();
                    if (attemptNumber >= MAX_ATTEMPTS
                            || !beforeDeadline
                            || !parts.runs().budget().tryRetry()) {
                        return CompletableFuture.<ServiceReply>failedFuture(refusal(cause, possiblySent));
                    }
                    parts.metrics().retried("service_failed");
                    return attempt(context, pool, call, attemptNumber + 1, possiblySent, failed);
                })
                .thenCompose(next -> next));
    }

    /**
     * Waits for a slot of an endpoint.
     *
     * @param context      the call's context
     * @param pool         the service's pool
     * @param onDemandOnly whether to exclude spot endpoints, which the platform may reclaim
     * @param failed       endpoints that failed this call, used only if there are no others
     * @return the slot, which must be released; fails with {@link RefusedException}
     */
    CompletionStage<Slot> acquireSlot(
            CallContext context, PoolRule pool, boolean onDemandOnly, Set<EndpointId> failed) {
        long queuedNanos = System.nanoTime();
        DispatchRequest dispatchRequest = new DispatchRequest(
                pool,
                context.accountId(),
                context.weight(),
                context.route().priority(),
                RequestCost.NONE,
                onDemandOnly,
                false,
                failed,
                context.deadlineMillis(),
                new CompletableFuture<>());
        parts.runs().dispatcher().submit(dispatchRequest);
        return dispatchRequest.slot().thenApply(slot -> {
            parts.metrics()
                    .queueWait(context.accountId(), context.route().requestClass(), System.nanoTime() - queuedNanos);
            return slot;
        });
    }

    /**
     * Sends a call to an endpoint and releases the slot when it ends.
     *
     * @param context the call's context
     * @param call    the call
     * @param slot    the slot of the endpoint
     * @return the service's response; fails with {@link ExchangeException}
     */
    CompletionStage<ServiceReply> send(CallContext context, ServiceCall call, Slot slot) {
        long timeoutMillis = context.deadlineMillis() - parts.clocks().nowMillis();
        return client.send(context, call, slot.endpoint(), timeoutMillis)
                .whenComplete((reply, failure) -> slot.release(failure != null));
    }

    /**
     * Records the usage of a call.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param reply   the service's response
     * @return the response for the caller, once the usage is durable; fails with {@link RefusedException}
     */
    CompletionStage<HttpResponse> recordUsage(CallContext context, PoolRule pool, ServiceReply reply) {
        long epochMillis = parts.clocks().epochMillis();
        long windowStartMillis =
                epochMillis - Math.floorMod(epochMillis, parts.settings().usageWindowMillis());
        UsageEntry entry = new UsageEntry(
                context.accountId(), context.requestId(), pool.id().value(), windowStartMillis, 0, 0, 0);
        return parts.usage().record(entry).thenApply(durable -> {
            long nanos = System.nanoTime() - context.startedNanos();
            parts.metrics().answered(context.accountId(), context.route().requestClass(), nanos);
            return reply.toResponse(context.requestId().value());
        });
    }

    /**
     * Returns the exchange failure behind a failure. Any other failure counts as one after which the service may have
     * received the request.
     *
     * @param failure the failure, possibly wrapped in a {@link CompletionException}
     * @return the exchange failure
     */
    static ExchangeException toExchangeException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ExchangeException exception
                ? exception
                : new ExchangeException(true, String.valueOf(cause));
    }

    /**
     * Returns the refusal after the last attempt.
     *
     * @param cause        the failure of the last attempt
     * @param possiblySent whether any attempt may have reached a service
     * @return the refusal
     */
    static RefusedException refusal(ExchangeException cause, boolean possiblySent) {
        return new RefusedException(
                ErrorKind.ENDPOINT_FAILED,
                possiblySent ? ExecutionState.UNKNOWN : ExecutionState.NO,
                RETRY_AFTER_MILLIS,
                "the service returned no complete response (" + cause.getMessage() + "): send the request again");
    }
}
