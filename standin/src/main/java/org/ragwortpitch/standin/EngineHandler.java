package org.ragwortpitch.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.util.ByteString;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineOrder;
import org.ragwortpitch.endpoint.EngineRequest;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.http.Responses;
import org.ragwortpitch.platform.Acknowledgement;

/**
 * An engine stand-in's HTTP form.
 */
final class EngineHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * The form of this class when it is sent elsewhere, which it never is.
     */
    private static final long serialVersionUID = 1;

    /**
     * The longest body, in milliseconds of reading.
     */
    private static final long BODY_MILLIS = 5_000;

    /**
     * The most events that wait for a slow reader.
     */
    private static final int MAX_WAITING_EVENTS = 100_000;

    /**
     * The actor system that the connections belong to.
     */
    private final transient ClassicActorSystemProvider system;

    /**
     * The engine.
     */
    private final transient EngineStandin engine;

    /**
     * Makes a handler.
     *
     * @param system the actor system that the connections belong to
     * @param engine the engine
     */
    EngineHandler(ClassicActorSystemProvider system, EngineStandin engine) {
        this.system = system;
        this.engine = engine;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        String path = request.getUri().path();
        return request.entity().toStrict(BODY_MILLIS, system).thenApply(entity -> {
            String body = entity.getData().utf8String();
            try {
                return answer(request, path, body);
            } catch (JsonProcessingException exception) {
                return Responses.text(400, exception.getOriginalMessage());
            }
        });
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param path    its path
     * @param body    its body
     * @return the answer
     * @throws JsonProcessingException if the body is not as wanted
     */
    private HttpResponse answer(HttpRequest request, String path, String body) throws JsonProcessingException {
        switch (path) {
            case "/v1/run":
                engine.noteReceived(request.getHeaders() + "\n" + body);
                return run(Json.read(body, EngineRequest.class));
            case "/v1/cancel":
                engine.cancel(Json.read(body, AttemptId.class));
                return Responses.json(200, new Acknowledgement(true));
            case "/v1/load":
                return Responses.json(200, engine.load());
            case "/v1/cache-events":
                long from = Long.parseLong(request.getUri().query().get("from").orElse("0"));
                return Responses.json(200, engine.cacheEvents(from));
            case "/v1/orders":
                boolean accepted = engine.order(Json.read(body, EngineOrder.class));
                return accepted
                        ? Responses.json(200, new Acknowledgement(true))
                        : Responses.text(409, "an old fencing number");
            case "/standin/received":
                return Responses.json(200, engine.received());
            case "/standin/orders":
                return Responses.json(200, engine.orders());
            case "/standin/cancelled":
                return Responses.json(200, engine.cancelled());
            default:
                return Responses.text(404, "no such path");
        }
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @return the answer, whose body goes on until the run ends
     */
    private HttpResponse run(EngineRequest request) {
        Pair<SourceQueueWithComplete<EngineEvent>, Source<EngineEvent, NotUsed>> queue = Source.<EngineEvent>queue(
                        MAX_WAITING_EVENTS, OverflowStrategy.fail())
                .preMaterialize(system);
        EngineRun run = engine.run(request, queue.first());
        if (run == null) {
            queue.first().complete();
            return HttpResponse.create().withStatus(StatusCodes.SERVICE_UNAVAILABLE);
        }
        queue.first().watchCompletion().whenComplete((done, failure) -> run.cancel());
        Source<ByteString, NotUsed> lines =
                queue.second().map(event -> ByteString.fromString(Json.write(event) + "\n"));
        return HttpResponse.create().withEntity(HttpEntities.createChunked(ContentTypes.APPLICATION_JSON, lines));
    }

    /**
     * Wraps a value that is there already.
     *
     * @param response the value
     * @return the value, completed
     */
    static CompletionStage<HttpResponse> done(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
