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
import org.ragwortpitch.http.HttpResponses;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.platform.Acknowledgement;

/**
 * Serves the HTTP interface of an engine stand-in, and of its records for tests under {@code /standin}.
 */
final class EngineHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * Pekko's {@code Function} is serializable; instances are never serialized.
     */
    private static final long serialVersionUID = 1;

    private static final long BODY_TIMEOUT_MILLIS = 5_000;

    /**
     * The most events buffered for a slow client; one more fails its response.
     */
    private static final int MAX_BUFFERED_EVENTS = 100_000;

    private final transient ClassicActorSystemProvider system;

    private final transient EngineStandin engine;

    /**
     * Creates a handler.
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
        return request.entity().toStrict(BODY_TIMEOUT_MILLIS, system).thenApply(entity -> {
            String body = entity.getData().utf8String();
            try {
                return respond(request, path, body);
            } catch (JsonProcessingException exception) {
                return HttpResponses.text(400, exception.getOriginalMessage());
            }
        });
    }

    private HttpResponse respond(HttpRequest request, String path, String body) throws JsonProcessingException {
        switch (path) {
            case "/v1/run":
                engine.recordReceived(request.getHeaders() + "\n" + body);
                return run(Json.read(body, EngineRequest.class));
            case "/v1/cancel":
                engine.cancel(Json.read(body, AttemptId.class));
                return HttpResponses.json(200, new Acknowledgement(true));
            case "/v1/load":
                return HttpResponses.json(200, engine.load());
            case "/v1/cache-events":
                long from = Long.parseLong(request.getUri().query().get("from").orElse("0"));
                return HttpResponses.json(200, engine.cacheEvents(from));
            case "/v1/orders":
                boolean accepted = engine.order(Json.read(body, EngineOrder.class));
                return accepted
                        ? HttpResponses.json(200, new Acknowledgement(true))
                        : HttpResponses.text(409, "stale fencing token");
            case "/standin/received":
                return HttpResponses.json(200, engine.received());
            case "/standin/orders":
                return HttpResponses.json(200, engine.orders());
            case "/standin/cancelled":
                return HttpResponses.json(200, engine.cancelled());
            default:
                return HttpResponses.text(404, "no such path");
        }
    }

    /**
     * Starts a run, whose events are streamed as lines of JSON until it ends. A client that disconnects cancels it.
     */
    private HttpResponse run(EngineRequest request) {
        Pair<SourceQueueWithComplete<EngineEvent>, Source<EngineEvent, NotUsed>> queue = Source.<EngineEvent>queue(
                        MAX_BUFFERED_EVENTS, OverflowStrategy.fail())
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

    static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
