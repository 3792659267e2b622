package org.ragwortpitch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.configuration.Repeatability;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.http.HttpResponses;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Handles the HTTP requests of callers: authenticates them and routes them to a model or a plain service.
 */
public final class CallerHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * Required since {@link Function} is serializable; the class is never serialized.
     */
    private static final long serialVersionUID = 1;

    /**
     * The metric label of calls that were refused before their account was known.
     */
    private static final AccountId NO_ACCOUNT = new AccountId("none");

    private final transient GatewayParts parts;

    private final transient RequestAuthenticator authenticator;

    private final transient ModelHandler models;

    private final transient ServiceHandler services;

    private final transient AtMostOnceHandler atMostOnce;

    private final transient AddressDirectory addresses;

    /**
     * Creates a handler.
     *
     * @param parts     the components of the daemon that the gateway uses
     * @param snapshots supplies the latest snapshot of the control state
     * @param control   sends messages to the control thread
     */
    public CallerHandler(GatewayParts parts, Supplier<Snapshot> snapshots, Consumer<ControlMessage> control) {
        this.parts = parts;
        this.authenticator = new RequestAuthenticator(
                snapshots, parts.clocks(), parts.settings().freshMillis());
        this.models = new ModelHandler(parts);
        this.services = new ServiceHandler(parts);
        this.atMostOnce = new AtMostOnceHandler(parts, services, control);
        this.addresses = new AddressDirectory(
                snapshots, parts.admission(), parts.settings().addressCacheMillis());
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        RequestId requestId = RequestAuthenticator.requestId(request);
        String path = request.getUri().path();
        if (path.equals("/v1/addresses")) {
            request.discardEntityBytes(parts.system());
            return CompletableFuture.completedFuture(HttpResponses.json(200, addresses.addressesFor(request)));
        }
        CallContext context;
        try {
            context = authenticator.authenticate(request, requestId);
        } catch (RefusedException refused) {
            request.discardEntityBytes(parts.system());
            parts.metrics().refused(NO_ACCOUNT, "none", refused.kind());
            return CompletableFuture.completedFuture(ErrorAnswers.answer(refused, requestId.value()));
        }
        return readBody(request)
                .thenCompose(entity -> route(request, context, entity))
                .exceptionally(failure -> errorResponse(context, failure));
    }

    /**
     * Reads a request's body.
     *
     * @param request the request
     * @return the body; fails with {@link RefusedException} with {@link ErrorKind#TIMED_OUT} if it takes longer than
     *     {@link GatewaySettings#bodyMillis}, and with the stream's failure if it is too large or malformed
     */
    private CompletionStage<HttpEntity.Strict> readBody(HttpRequest request) {
        return request.entity()
                .withSizeLimit(parts.settings().maxBodyBytes())
                .toStrict(parts.settings().bodyMillis(), parts.system())
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        failure instanceof TimeoutException || failure.getCause() instanceof TimeoutException
                                ? RefusedException.notRun(
                                        ErrorKind.TIMED_OUT, "timed out reading the request body: send it faster")
                                : failure));
    }

    private CompletionStage<HttpResponse> route(HttpRequest request, CallContext context, HttpEntity.Strict entity) {
        if (context.route().service().isPresent()) {
            PoolRule pool = context.configuration()
                    .pool(context.route().service().get())
                    .orElseThrow();
            ServiceCall call = ServiceCall.of(request, entity);
            return context.route().repetition() == Repeatability.AT_MOST_ONCE
                    ? atMostOnce.answer(context, pool, request, call)
                    : services.answer(context, pool, call);
        }
        String path = request.getUri().path();
        boolean post = request.method().equals(HttpMethods.POST);
        if (path.endsWith("/v1/models") && request.method().equals(HttpMethods.GET)) {
            return CompletableFuture.completedFuture(models.listModels(context));
        } else if (path.endsWith("/v1/chat/completions") && post) {
            return models.complete(
                    context, CompletionFormat.CHAT, entity.getData().utf8String());
        } else if (path.endsWith("/v1/completions") && post) {
            return models.complete(
                    context, CompletionFormat.TEXT, entity.getData().utf8String());
        }
        return CompletableFuture.failedFuture(RefusedException.notRun(
                ErrorKind.NOT_FOUND,
                request.method().name() + " " + path + " is not part of the model API: use GET /v1/models, "
                        + "POST /v1/chat/completions or POST /v1/completions"));
    }

    private HttpResponse errorResponse(CallContext context, Throwable failure) {
        RefusedException refused = ErrorAnswers.refusalOf(failure);
        parts.metrics().refused(context.accountId(), context.route().requestClass(), refused.kind());
        return ErrorAnswers.answer(refused, context.requestId().value());
    }
}
