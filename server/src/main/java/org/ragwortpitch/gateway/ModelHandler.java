package org.ragwortpitch.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.ragwortpitch.admission.QuotaReservation;
import org.ragwortpitch.configuration.PoolKind;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.dispatch.ModelRun;
import org.ragwortpitch.dispatch.ModelRunSpec;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Handles the calls of the model API.
 */
public final class ModelHandler {

    private final GatewayParts parts;

    /**
     * Creates a handler.
     *
     * @param parts the components of the daemon that the gateway uses
     */
    public ModelHandler(GatewayParts parts) {
        this.parts = parts;
    }

    /**
     * Lists the models that are configured.
     *
     * @param context the call
     * @return the response
     */
    public HttpResponse listModels(CallContext context) {
        ObjectNode root = Json.mapper().createObjectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        for (PoolRule pool : context.configuration().pools()) {
            if (pool.kind() == PoolKind.MODEL) {
                data.addObject()
                        .put("id", pool.id().value())
                        .put("object", "model")
                        .put("owned_by", "operators");
            }
        }
        return HttpResponse.create().withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, root.toString()));
    }

    /**
     * Handles a request for a chat or text completion.
     *
     * @param context the call
     * @param format  the format of the request and its response
     * @param body    the request body
     * @return the response; fails with {@link RefusedException}
     */
    public CompletionStage<HttpResponse> complete(CallContext context, CompletionFormat format, String body) {
        try {
            ModelCall call = ModelCall.parse(format, body, parts.settings());
            PoolRule pool = context.configuration()
                    .pool(new PoolId(call.model()))
                    .filter(found -> found.kind() == PoolKind.MODEL)
                    .orElseThrow(() -> RefusedException.notRun(
                            ErrorKind.NOT_FOUND, "model '" + call.model() + "' does not exist: see /v1/models"));
            return admit(context, call).thenCompose(reservation -> run(context, call, pool, reservation));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
    }

    private CompletionStage<QuotaReservation> admit(CallContext context, ModelCall call) {
        QuotaAmount requested = new QuotaAmount(call.promptTokens() + call.maxOutputTokens(), 1);
        return context.account()
                .map(account -> parts.admission().admit(account, requested))
                .orElseGet(() -> CompletableFuture.completedFuture(QuotaReservation.unlimited()));
    }

    private CompletionStage<HttpResponse> run(
            CallContext context, ModelCall call, PoolRule pool, QuotaReservation reservation) {
        ModelRunSpec spec = new ModelRunSpec(
                context.globalId(),
                context.accountId(),
                context.weight(),
                context.route().requestClass(),
                context.route().priority(),
                pool,
                call.prompt(),
                call.maxOutputTokens(),
                call.cost(),
                context.deadlineMillis());
        ModelRun run = new ModelRun(parts.runs(), spec);
        Source<EngineEvent, NotUsed> events = monitored(context, call, run, reservation);
        return call.stream()
                ? CompletableFuture.completedFuture(streamingResponse(context, call, events))
                : bufferedResponse(context, call, events);
    }

    /**
     * Adds deadline, latency metrics, recording of usage and settlement of the quota reservation to the events of a
     * run. The reservation is settled however the stream ends, with the prompt's estimated tokens and the tokens
     * generated so far.
     */
    private Source<EngineEvent, NotUsed> monitored(
            CallContext context, ModelCall call, ModelRun run, QuotaReservation reservation) {
        TokenLatencyRecorder latencies = new TokenLatencyRecorder(context, parts.metrics());
        CompletionRecorder recorder = new CompletionRecorder(context, parts.metrics(), call.stream());
        Duration remaining = Duration.ofMillis(
                Math.max(1, context.deadlineMillis() - parts.clocks().nowMillis()));
        return run.events()
                .completionTimeout(remaining)
                .viaMat(KillSwitches.single(), Keep.right())
                .mapMaterializedValue(killSwitch -> registerCall(context, killSwitch, recorder))
                .map(latencies::record)
                .mapAsync(
                        1, event -> event.endsStream() ? recordUsage(context, call, event, recorder) : completed(event))
                .watchTermination((ignored, terminated) -> {
                    terminated.whenComplete((finished, failure) -> {
                        reservation.settle(new QuotaAmount(call.promptTokens() + run.tokens(), 1));
                        recorder.callEnded(parts.active(), failure);
                    });
                    return NotUsed.getInstance();
                });
    }

    private NotUsed registerCall(CallContext context, UniqueKillSwitch killSwitch, CompletionRecorder recorder) {
        parts.active().begin(context, killSwitch);
        recorder.callStarted(killSwitch);
        return NotUsed.getInstance();
    }

    private static CompletionStage<EngineEvent> completed(EngineEvent event) {
        return CompletableFuture.completedFuture(event);
    }

    /**
     * Records the usage of a response; the finish event is sent only once the usage is durable.
     */
    private CompletionStage<EngineEvent> recordUsage(
            CallContext context, ModelCall call, EngineEvent finish, CompletionRecorder recorder) {
        long epochMillis = parts.clocks().epochMillis();
        long windowStartMillis =
                epochMillis - Math.floorMod(epochMillis, parts.settings().usageWindowMillis());
        UsageEntry entry = new UsageEntry(
                context.accountId(),
                context.requestId(),
                call.model(),
                windowStartMillis,
                finish.promptTokens(),
                finish.cachedTokens(),
                finish.index());
        return parts.usage().record(entry).thenApply(durable -> {
            recorder.finishRecorded();
            return finish;
        });
    }

    /**
     * Returns a response of server-sent events. A failure is sent as a last event, since the HTTP status has
     * been sent by then.
     */
    private HttpResponse streamingResponse(CallContext context, ModelCall call, Source<EngineEvent, NotUsed> events) {
        String requestId = context.requestId().value();
        Source<ByteString, NotUsed> body = events.map(event -> {
                    String chunk = call.format().chunk(requestId, call.model(), event);
                    return serverSentEvent(event.endsStream() ? chunk + "\n\ndata: [DONE]" : chunk);
                })
                .recover(new PFBuilder<Throwable, ByteString>()
                        .matchAny(failure -> serverSentEvent(
                                Json.write(ErrorAnswers.body(ErrorAnswers.refusalOf(failure), requestId))))
                        .build());
        return HttpResponse.create()
                .withEntity(HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), body))
                .addHeader(RawHeader.create("X-Request-Id", requestId))
                .addHeader(RawHeader.create("Cache-Control", "no-store"));
    }

    private CompletionStage<HttpResponse> bufferedResponse(
            CallContext context, ModelCall call, Source<EngineEvent, NotUsed> events) {
        String requestId = context.requestId().value();
        StringBuilder text = new StringBuilder();
        return events.runFold(
                        (EngineEvent) null,
                        (last, event) -> {
                            text.append(event.text());
                            return event;
                        },
                        parts.system())
                .thenApply(finish -> HttpResponse.create()
                        .withEntity(HttpEntities.create(
                                ContentTypes.APPLICATION_JSON,
                                call.format().response(requestId, call.model(), text.toString(), finish)))
                        .addHeader(RawHeader.create("X-Request-Id", requestId)));
    }

    private static ByteString serverSentEvent(String data) {
        return ByteString.fromString("data: " + data + "\n\n");
    }
}
