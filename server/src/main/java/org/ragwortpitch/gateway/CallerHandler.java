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
import org.ragwortpitch.http.Responses;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Answers callers.
 */
public final class CallerHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * The form of this class when it is sent elsewhere, which it never is.
     */
    private static final long serialVersionUID = 1;

    /**
     * The label of calls that were refused at the door.
     */
    private static final AccountId AT_THE_DOOR = new AccountId("none");

    /**
     * The parts of the daemon that the gateway uses.
     */
    private final transient GatewayParts parts;

    /**
     * Lets calls in.
     */
    private final transient Door door;

    /**
     * Answers model calls.
     */
    private final transient ModelHandler models;

    /**
     * Answers idempotent calls of services.
     */
    private final transient ServiceHandler services;

    /**
     * Answers calls that may run at most once.
     */
    private final transient OnceHandler once;

    /**
     * Tells which daemons to use.
     */
    private final transient AddressBook addresses;

    /**
     * Makes a handler.
     *
     * @param parts     the parts of the daemon that the gateway uses
     * @param snapshots supplies control state
     * @param control   sends messages to the control thread
     */
    public CallerHandler(GatewayParts parts, Supplier<Snapshot> snapshots, Consumer<ControlMessage> control) {
        this.parts = parts;
        this.door = new Door(snapshots, parts.clocks(), parts.settings().freshMillis());
        this.models = new ModelHandler(parts);
        this.services = new ServiceHandler(parts);
        this.once = new OnceHandler(parts, services, control);
        this.addresses =
                new AddressBook(snapshots, parts.admission(), parts.settings().addressCacheMillis());
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        RequestId requestId = Door.requestId(request);
        String path = request.getUri().path();
        if (path.equals("/v1/addresses")) {
            request.discardEntityBytes(parts.system());
            return CompletableFuture.completedFuture(Responses.json(200, addresses.answer(request)));
        }
        CallContext context;
        try {
            context = door.enter(request, requestId);
        } catch (RefusedException refused) {
            request.discardEntityBytes(parts.system());
            parts.metrics().refused(AT_THE_DOOR, "none", refused.kind());
            return CompletableFuture.completedFuture(ErrorAnswers.answer(refused, requestId.value()));
        }
        return body(request)
                .thenCompose(entity -> route(request, context, entity))
                .exceptionally(failure -> refused(context, failure));
    }

    /**
     * Reads a request's body.
     *
     * @param request the request
     * @return the body; fails with {@link RefusedException} if it is too long or too slow
     */
    private CompletionStage<HttpEntity.Strict> body(HttpRequest request) {
        return request.entity()
                .withSizeLimit(parts.settings().maxBodyBytes())
                .toStrict(parts.settings().bodyMillis(), parts.system())
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        failure instanceof TimeoutException || failure.getCause() instanceof TimeoutException
                                ? RefusedException.notRun(
                                        ErrorKind.TIMED_OUT, "the body came too slowly: send it faster")
                                : failure));
    }

    /**
     * Hands a call to what answers it.
     *
     * @param request the request
     * @param context the call's context
     * @param entity  the body
     * @return the answer
     */
    private CompletionStage<HttpResponse> route(HttpRequest request, CallContext context, HttpEntity.Strict entity) {
        if (context.route().service().isPresent()) {
            PoolRule pool = context.configuration()
                    .pool(context.route().service().get())
                    .orElseThrow();
            ServiceCall call = ServiceCall.of(request, entity);
            return context.route().repetition() == Repeatability.AT_MOST_ONCE
                    ? once.answer(context, pool, request, call)
                    : services.answer(context, pool, call);
        }
        String path = request.getUri().path();
        boolean post = request.method().equals(HttpMethods.POST);
        if (path.endsWith("/v1/models") && request.method().equals(HttpMethods.GET)) {
            return CompletableFuture.completedFuture(models.models(context));
        } else if (path.endsWith("/v1/chat/completions") && post) {
            return models.complete(context, CallForm.CHAT, entity.getData().utf8String());
        } else if (path.endsWith("/v1/completions") && post) {
            return models.complete(context, CallForm.TEXT, entity.getData().utf8String());
        }
        return CompletableFuture.failedFuture(RefusedException.notRun(
                ErrorKind.NOT_FOUND,
                request.method().name() + " " + path + " is no call of the model interface: use GET /v1/models, "
                        + "POST /v1/chat/completions or POST /v1/completions"));
    }

    /**
     * Makes the answer of a failed call.
     *
     * @param context the call's context
     * @param failure the failure
     * @return the answer
     */
    private HttpResponse refused(CallContext context, Throwable failure) {
        RefusedException refused = ErrorAnswers.refusalOf(failure);
        parts.metrics().refused(context.accountId(), context.route().requestClass(), refused.kind());
        return ErrorAnswers.answer(refused, context.requestId().value());
    }
}
