package org.ragwortpitch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.StreamTcpException;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.dispatch.HttpEngines;

/**
 * Sends one call to one plain service, once.
 */
final class ServiceExchange {

    /**
     * The longest answer, in bytes.
     */
    private static final long MAX_ANSWER_BYTES = 8L * 1024 * 1024;

    /**
     * How the message of a connection that was never made begins.
     */
    private static final String CONNECT_FAILED = "Tcp command [Connect(";

    /**
     * The actor system that connections belong to.
     */
    private final ActorSystem system;

    /**
     * How connections are kept.
     */
    private final ConnectionPoolSettings pool;

    /**
     * Makes an exchange.
     *
     * @param system the actor system that connections belong to
     */
    ServiceExchange(ActorSystem system) {
        this.system = system;
        this.pool = HttpEngines.poolSettings(system);
    }

    /**
     * Sends a call.
     *
     * @param context    the call's context
     * @param call       the call
     * @param endpoint   the service
     * @param leftMillis how long it may take, in milliseconds
     * @return the whole answer; fails with {@link ExchangeException}
     */
    CompletionStage<ServiceReply> send(CallContext context, ServiceCall call, EndpointRule endpoint, long leftMillis) {
        HttpRequest request = HttpRequest.create("http://" + endpoint.address() + call.pathAndQuery())
                .withMethod(call.method())
                .withEntity(call.entity())
                .addHeaders(call.headers())
                .addHeader(RawHeader.create("X-Request-Id", context.requestId().value()))
                .addHeader(
                        RawHeader.create("X-Client-Account", context.accountId().value()));
        Http http = Http.get(system);
        return http.singleRequest(request, http.defaultClientHttpsContext(), pool, system.log())
                .thenCompose(response -> whole(response, leftMillis))
                .toCompletableFuture()
                .orTimeout(Math.max(1, leftMillis), TimeUnit.MILLISECONDS)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(toExchange(failure)));
    }

    /**
     * Reads a whole answer.
     *
     * @param response   the answer
     * @param leftMillis how long it may take, in milliseconds
     * @return the whole answer
     */
    private CompletionStage<ServiceReply> whole(HttpResponse response, long leftMillis) {
        return response.entity()
                .withSizeLimit(MAX_ANSWER_BYTES)
                .toStrict(Math.max(1, leftMillis), system)
                .thenApply(entity -> new ServiceReply(
                        response.status().intValue(), entity.getContentType().toString(), entity.getData()));
    }

    /**
     * Turns a failure into the checked kind.
     *
     * @param failure the failure
     * @return the checked failure
     */
    private static ExchangeException toExchange(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean connected = !(cause instanceof StreamTcpException)
                || !String.valueOf(cause.getMessage()).startsWith(CONNECT_FAILED);
        return new ExchangeException(connected, String.valueOf(cause));
    }
}
