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
import org.ragwortpitch.dispatch.HttpEngineClients;

/**
 * HTTP client of plain services. Makes one attempt per call.
 */
final class ServiceClient {

    private static final long MAX_RESPONSE_BYTES = 8L * 1024 * 1024;

    /**
     * How the message of a {@link StreamTcpException} begins if the connection was never established.
     */
    private static final String CONNECT_FAILURE_PREFIX = "Tcp command [Connect(";

    private final ActorSystem system;

    private final ConnectionPoolSettings poolSettings;

    ServiceClient(ActorSystem system) {
        this.system = system;
        this.poolSettings = HttpEngineClients.poolSettings(system);
    }

    /**
     * Sends a call.
     *
     * @param context       the call's context
     * @param call          the call
     * @param endpoint      the endpoint
     * @param timeoutMillis the timeout, in milliseconds; at least 1 is used
     * @return the complete response; fails with {@link ExchangeException}
     */
    CompletionStage<ServiceReply> send(
            CallContext context, ServiceCall call, EndpointRule endpoint, long timeoutMillis) {
        HttpRequest request = HttpRequest.create("http://" + endpoint.address() + call.pathAndQuery())
                .withMethod(call.method())
                .withEntity(call.entity())
                .addHeaders(call.headers())
                .addHeader(RawHeader.create("X-Request-Id", context.requestId().value()))
                .addHeader(
                        RawHeader.create("X-Client-Account", context.accountId().value()));
        Http http = Http.get(system);
        return http.singleRequest(request, http.defaultClientHttpsContext(), poolSettings, system.log())
                .thenCompose(response -> readResponse(response, timeoutMillis))
                .toCompletableFuture()
                .orTimeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(toExchangeException(failure)));
    }

    private CompletionStage<ServiceReply> readResponse(HttpResponse response, long timeoutMillis) {
        return response.entity()
                .withSizeLimit(MAX_RESPONSE_BYTES)
                .toStrict(Math.max(1, timeoutMillis), system)
                .thenApply(entity -> new ServiceReply(
                        response.status().intValue(), entity.getContentType().toString(), entity.getData()));
    }

    private static ExchangeException toExchangeException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean possiblySent = !(cause instanceof StreamTcpException)
                || !String.valueOf(cause.getMessage()).startsWith(CONNECT_FAILURE_PREFIX);
        return new ExchangeException(possiblySent, String.valueOf(cause));
    }
}
