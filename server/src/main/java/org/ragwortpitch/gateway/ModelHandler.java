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
import org.ragwortpitch.admission.Ticket;
import org.ragwortpitch.configuration.PoolKind;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.dispatch.ModelRun;
import org.ragwortpitch.dispatch.RunSpec;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Answers model calls.
 */
public final class ModelHandler {

    /**
     * The parts of the daemon that the gateway uses.
     */
    private final GatewayParts parts;

    /**
     * Makes a handler.
     *
     * @param parts the parts of the daemon that the gateway uses
     */
    public ModelHandler(GatewayParts parts) {
        this.parts = parts;
    }

    /**
     * Lists the models.
     *
     * @param context the call
     * @return the answer
     */
    public HttpResponse models(CallContext context) {
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
     * Answers a call.
     *
     * @param context the call
     * @param form    its form
     * @param body    its body
     * @return the answer; fails with {@link RefusedException}
     */
    public CompletionStage<HttpResponse> complete(CallContext context, CallForm form, String body) {
        try {
            ModelCall call = ModelCall.parse(form, body, parts.settings());
            PoolRule pool = context.configuration()
                    .pool(new PoolId(call.model()))
                    .filter(found -> found.kind() == PoolKind.MODEL)
                    .orElseThrow(() -> RefusedException.notRun(
                            ErrorKind.NOT_FOUND, "there is no model '" + call.model() + "': see /v1/models"));
            return admit(context, call).thenCompose(ticket -> answer(context, call, pool, ticket));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
    }

    /**
     * Admits a call.
     *
     * @param context the call
     * @param call    the call's content
     * @return the ticket; fails with {@link RefusedException}
     */
    private CompletionStage<Ticket> admit(CallContext context, ModelCall call) {
        QuotaAmount wish = new QuotaAmount(call.promptTokens() + call.maxOutputTokens(), 1);
        return context.account()
                .map(account -> parts.admission().admit(account, wish))
                .orElseGet(() -> CompletableFuture.completedFuture(Ticket.unlimited()));
    }

    /**
     * Runs a call.
     *
     * @param context the call
     * @param call    the call's content
     * @param pool    the model's pool
     * @param ticket  the allowance
     * @return the answer; fails with {@link RefusedException}
     */
    private CompletionStage<HttpResponse> answer(CallContext context, ModelCall call, PoolRule pool, Ticket ticket) {
        RunSpec spec = new RunSpec(
                context.globalId(),
                context.accountId(),
                context.weight(),
                context.route().requestClass(),
                context.route().priority(),
                pool,
                call.prompt(),
                call.maxOutputTokens(),
                call.demand(),
                context.deadlineMillis());
        ModelRun run = new ModelRun(parts.runs(), spec);
        Source<EngineEvent, NotUsed> events = guarded(context, call, run, ticket);
        return call.stream()
                ? CompletableFuture.completedFuture(streamed(context, call, events))
                : whole(context, call, events);
    }

    /**
     * Adds deadline, metrics, usage and settlement to a run.
     *
     * @param context the call
     * @param call    the call's content
     * @param run     the run
     * @param ticket  the allowance
     * @return the events
     */
    private Source<EngineEvent, NotUsed> guarded(CallContext context, ModelCall call, ModelRun run, Ticket ticket) {
        AnswerMeter meter = new AnswerMeter(context, parts.metrics());
        AnswerEnd end = new AnswerEnd(context, parts.metrics(), call.stream());
        Duration left = Duration.ofMillis(
                Math.max(1, context.deadlineMillis() - parts.clocks().nowMillis()));
        return run.events()
                .completionTimeout(left)
                .viaMat(KillSwitches.single(), Keep.right())
                .mapMaterializedValue(killSwitch -> begin(context, killSwitch, end))
                .map(meter::note)
                .mapAsync(1, event -> event.finishes() ? recorded(context, call, event, end) : done(event))
                .watchTermination((ignored, terminated) -> {
                    terminated.whenComplete((finished, failure) -> {
                        ticket.settle(new QuotaAmount(call.promptTokens() + run.tokens(), 1));
                        end.ended(parts.active(), failure);
                    });
                    return NotUsed.getInstance();
                });
    }

    /**
     * Notes that a call begins.
     *
     * @param context    the call
     * @param killSwitch ends it
     * @param end        notes how it ends
     * @return nothing of use
     */
    private NotUsed begin(CallContext context, UniqueKillSwitch killSwitch, AnswerEnd end) {
        parts.active().begin(context, killSwitch);
        end.begun(killSwitch);
        return NotUsed.getInstance();
    }

    /**
     * Wraps an event that needs nothing more.
     *
     * @param event the event
     * @return the event
     */
    private static CompletionStage<EngineEvent> done(EngineEvent event) {
        return CompletableFuture.completedFuture(event);
    }

    /**
     * Records the usage of an answer before its finish goes out.
     *
     * @param context the call
     * @param call    the call's content
     * @param finish  the finish
     * @param end     notes how the answer ends
     * @return the finish, when the usage is safe
     */
    private CompletionStage<EngineEvent> recorded(
            CallContext context, ModelCall call, EngineEvent finish, AnswerEnd end) {
        long epochMillis = parts.clocks().epochMillis();
        long window = epochMillis - Math.floorMod(epochMillis, parts.settings().usageWindowMillis());
        UsageEntry entry = new UsageEntry(
                context.accountId(),
                context.requestId(),
                call.model(),
                window,
                finish.promptTokens(),
                finish.cachedTokens(),
                finish.index());
        return parts.usage().record(entry).thenApply(durable -> {
            end.finished();
            return finish;
        });
    }

    /**
     * Makes a streamed answer.
     *
     * @param context the call
     * @param call    the call's content
     * @param events  the events
     * @return the answer
     */
    private HttpResponse streamed(CallContext context, ModelCall call, Source<EngineEvent, NotUsed> events) {
        String requestId = context.requestId().value();
        Source<ByteString, NotUsed> body = events.map(event -> {
                    String chunk = call.form().chunk(requestId, call.model(), event);
                    return sse(event.finishes() ? chunk + "\n\ndata: [DONE]" : chunk);
                })
                .recover(new PFBuilder<Throwable, ByteString>()
                        .matchAny(failure ->
                                sse(Json.write(ErrorAnswers.body(ErrorAnswers.refusalOf(failure), requestId))))
                        .build());
        return HttpResponse.create()
                .withEntity(HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), body))
                .addHeader(RawHeader.create("X-Request-Id", requestId))
                .addHeader(RawHeader.create("Cache-Control", "no-store"));
    }

    /**
     * Makes a whole answer.
     *
     * @param context the call
     * @param call    the call's content
     * @param events  the events
     * @return the answer; fails with {@link RefusedException}
     */
    private CompletionStage<HttpResponse> whole(
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
                                call.form().whole(requestId, call.model(), text.toString(), finish)))
                        .addHeader(RawHeader.create("X-Request-Id", requestId)));
    }

    /**
     * Frames a server-sent event.
     *
     * @param data the event's data
     * @return its bytes
     */
    private static ByteString sse(String data) {
        return ByteString.fromString("data: " + data + "\n\n");
    }
}
