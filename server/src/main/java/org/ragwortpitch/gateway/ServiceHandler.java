package org.ragwortpitch.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.ragwortpitch.admission.Ticket;
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
 * Answers idempotent calls of plain services, and offers what calls of any kind need.
 */
final class ServiceHandler {

    /**
     * The most attempts.
     */
    private static final int MAX_ATTEMPTS = 3;

    /**
     * When a caller should try again after the last attempt failed, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * The parts of the daemon that the gateway uses.
     */
    private final GatewayParts parts;

    /**
     * Sends calls.
     */
    private final ServiceExchange exchange;

    /**
     * Makes a handler.
     *
     * @param parts the parts of the daemon that the gateway uses
     */
    ServiceHandler(GatewayParts parts) {
        this.parts = parts;
        this.exchange = new ServiceExchange(parts.system());
    }

    /**
     * Answers an idempotent call.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param call    the call
     * @return the answer; fails with {@link RefusedException}
     */
    CompletionStage<HttpResponse> answer(CallContext context, PoolRule pool, ServiceCall call) {
        return admit(context).thenCompose(ticket -> attempt(context, pool, call, 1, false, new HashSet<>())
                .thenCompose(reply -> recorded(context, pool, reply))
                .whenComplete((response, failure) -> ticket.settle(new QuotaAmount(0, 1))));
    }

    /**
     * Admits a call under its account's limit of requests.
     *
     * @param context the call's context
     * @return the ticket; fails with {@link RefusedException}
     */
    CompletionStage<Ticket> admit(CallContext context) {
        return context.account()
                .map(account -> parts.admission().admit(account, new QuotaAmount(0, 1)))
                .orElseGet(() -> CompletableFuture.completedFuture(Ticket.unlimited()));
    }

    /**
     * Makes an attempt, and further ones if it fails.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param call    the call
     * @param number  the attempt's number, from 1
     * @param sent    whether an earlier attempt may have reached a service
     * @param failed  the endpoints that failed
     * @return the service's answer; fails with {@link RefusedException}
     */
    private CompletionStage<ServiceReply> attempt(
            CallContext context, PoolRule pool, ServiceCall call, int number, boolean sent, Set<EndpointId> failed) {
        return slot(context, pool, false, failed).thenCompose(slot -> send(context, call, slot)
                .handle((reply, failure) -> {
                    if (failure == null) {
                        parts.runs().budget().earn();
                        return CompletableFuture.completedFuture(reply);
                    }
                    ExchangeException cause = exchangeFailure(failure);
                    boolean reached = sent || cause.isSent();
                    failed.add(slot.endpoint().id());
                    boolean inTime = parts.clocks().nowMillis() < context.deadlineMillis();
                    if (number >= MAX_ATTEMPTS
                            || !inTime
                            || !parts.runs().budget().tryRetry()) {
                        return CompletableFuture.<ServiceReply>failedFuture(refusal(cause, reached));
                    }
                    parts.metrics().retried("service_failed");
                    return attempt(context, pool, call, number + 1, reached, failed);
                })
                .thenCompose(next -> next));
    }

    /**
     * Waits for an endpoint.
     *
     * @param context  the call's context
     * @param pool     the service's pool
     * @param firmOnly whether only endpoints that the platform will not take back will do
     * @param failed   endpoints to avoid
     * @return the endpoint; fails with {@link RefusedException}
     */
    CompletionStage<Slot> slot(CallContext context, PoolRule pool, boolean firmOnly, Set<EndpointId> failed) {
        long askedNanos = System.nanoTime();
        DispatchRequest wish = new DispatchRequest(
                pool,
                context.accountId(),
                context.weight(),
                context.route().priority(),
                RequestCost.NONE,
                firmOnly,
                false,
                failed,
                context.deadlineMillis(),
                new CompletableFuture<>());
        parts.runs().dispatcher().ask(wish);
        return wish.slot().thenApply(slot -> {
            parts.metrics()
                    .queueWait(context.accountId(), context.route().requestClass(), System.nanoTime() - askedNanos);
            return slot;
        });
    }

    /**
     * Sends a call to an endpoint and gives the slot back.
     *
     * @param context the call's context
     * @param call    the call
     * @param slot    the endpoint
     * @return the service's answer; fails with {@link ExchangeException}
     */
    CompletionStage<ServiceReply> send(CallContext context, ServiceCall call, Slot slot) {
        long leftMillis = context.deadlineMillis() - parts.clocks().nowMillis();
        return exchange.send(context, call, slot.endpoint(), leftMillis)
                .whenComplete((reply, failure) -> slot.release(failure != null));
    }

    /**
     * Records the usage of an answered call and makes the answer.
     *
     * @param context the call's context
     * @param pool    the service's pool
     * @param reply   the service's answer
     * @return the answer
     */
    CompletionStage<HttpResponse> recorded(CallContext context, PoolRule pool, ServiceReply reply) {
        long epochMillis = parts.clocks().epochMillis();
        long window = epochMillis - Math.floorMod(epochMillis, parts.settings().usageWindowMillis());
        UsageEntry entry = new UsageEntry(
                context.accountId(), context.requestId(), pool.id().value(), window, 0, 0, 0);
        return parts.usage().record(entry).thenApply(durable -> {
            long nanos = System.nanoTime() - context.startedNanos();
            parts.metrics().answered(context.accountId(), context.route().requestClass(), nanos);
            return reply.toResponse(context.requestId().value());
        });
    }

    /**
     * Finds the failure of an exchange.
     *
     * @param failure the failure as it came
     * @return the failure of the exchange
     */
    static ExchangeException exchangeFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ExchangeException exception
                ? exception
                : new ExchangeException(true, String.valueOf(cause));
    }

    /**
     * Makes the refusal after the last attempt.
     *
     * @param cause   why it failed
     * @param reached whether any attempt may have reached a service
     * @return the refusal
     */
    static RefusedException refusal(ExchangeException cause, boolean reached) {
        return new RefusedException(
                ErrorKind.ENDPOINT_FAILED,
                reached ? ExecutionState.UNKNOWN : ExecutionState.NO,
                RETRY_AFTER_MILLIS,
                "the service gave no whole answer (" + cause.getMessage() + "): send the request again");
    }
}
