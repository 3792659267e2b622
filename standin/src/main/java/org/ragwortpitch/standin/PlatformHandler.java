package org.ragwortpitch.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.http.HttpResponses;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.platform.Acknowledgement;
import org.ragwortpitch.platform.AppendRequest;
import org.ragwortpitch.platform.AppendResponse;
import org.ragwortpitch.platform.EndpointList;
import org.ragwortpitch.platform.Instances;
import org.ragwortpitch.platform.ListedEndpoint;
import org.ragwortpitch.platform.UsageReport;
import org.ragwortpitch.platform.WeightAllowance;

/**
 * Serves the HTTP interface of the platform stand-in, and its faults and records for tests under {@code /standin}.
 */
final class PlatformHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * Pekko's {@code Function} is serializable; instances are never serialized.
     */
    private static final long serialVersionUID = 1;

    private static final long BODY_TIMEOUT_MILLIS = 5_000;

    private final transient ClassicActorSystemProvider system;

    private final transient LogStandin log;

    private final transient UsageStandin usage;

    private final transient FaultSwitch faults;

    /**
     * Spot endpoints whose reclaim is announced, the only endpoints that are listed.
     */
    private final transient List<ListedEndpoint> reclaimed = new CopyOnWriteArrayList<>();

    /**
     * Creates a handler.
     *
     * @param system the actor system that the connections belong to
     * @param log    the log
     * @param usage  the usage reports
     * @param faults the faults to inject
     */
    PlatformHandler(ClassicActorSystemProvider system, LogStandin log, UsageStandin usage, FaultSwitch faults) {
        this.system = system;
        this.log = log;
        this.usage = usage;
        this.faults = faults;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        return request.entity().toStrict(BODY_TIMEOUT_MILLIS, system).thenCompose(entity -> {
            try {
                return respond(request, entity.getData().utf8String());
            } catch (JsonProcessingException exception) {
                return EngineHandler.completed(HttpResponses.text(400, exception.getOriginalMessage()));
            }
        });
    }

    private CompletionStage<HttpResponse> respond(HttpRequest request, String body) throws JsonProcessingException {
        switch (request.getUri().path()) {
            case "/log/append":
                return append(Json.read(body, AppendRequest.class));
            case "/log/read":
                return read(request);
            case "/usage/reports":
                return body.isEmpty() ? json(usage.reports()) : report(Json.read(body, UsageReport.class));
            case "/endpoints":
                return json(new EndpointList(List.copyOf(reclaimed)));
            case "/standin/reclaim":
                reclaimed.add(Json.read(body, ListedEndpoint.class));
                return json(new Acknowledgement(true));
            case "/instances":
                return json(new Instances(List.of()));
            case "/weights":
                return json(new WeightAllowance(1, 0));
            case "/standin/faults":
                faults.set(Json.read(body, Faults.class));
                return json(new Acknowledgement(true));
            case "/standin/conflicts":
                return json(usage.conflicts());
            case "/standin/appends":
                return json(log.appends());
            default:
                return EngineHandler.completed(HttpResponses.text(404, "no such path"));
        }
    }

    /**
     * Appends to the log; with a fault, the response is delayed or never sent.
     */
    private CompletionStage<HttpResponse> append(AppendRequest call) {
        if (faults.get().logOut()) {
            return EngineHandler.completed(HttpResponses.text(503, "injected fault: the log is unavailable"));
        }
        long offset = log.append(call.records(), System.currentTimeMillis());
        if (faults.hits(faults.get().appendAnswersLostPermille())) {
            return new CompletableFuture<>();
        }
        return delayed(json(new AppendResponse(offset)));
    }

    private CompletionStage<HttpResponse> read(HttpRequest request) {
        if (faults.get().logOut()) {
            return EngineHandler.completed(HttpResponses.text(503, "injected fault: the log is unavailable"));
        }
        long from = number(request, "from");
        int max = (int) number(request, "max");
        return delayed(
                log.read(from, max, number(request, "wait-millis")).thenApply(page -> HttpResponses.json(200, page)));
    }

    /**
     * Stores a usage report; with a fault, the response is never sent.
     */
    private CompletionStage<HttpResponse> report(UsageReport report) {
        if (faults.get().usageOut()) {
            return EngineHandler.completed(HttpResponses.text(503, "injected fault: usage reports are unavailable"));
        }
        usage.report(report);
        return faults.hits(faults.get().usageAnswersLostPermille())
                ? new CompletableFuture<>()
                : json(new Acknowledgement(true));
    }

    /**
     * Delays a response by the log's injected delay.
     */
    private CompletionStage<HttpResponse> delayed(CompletionStage<HttpResponse> response) {
        long delayMillis = faults.get().logDelayMillis();
        if (delayMillis <= 0) {
            return response;
        }
        Executor later = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
        return response.thenApplyAsync(value -> value, later);
    }

    /**
     * Returns a query parameter, or 0 if it is missing.
     */
    private static long number(HttpRequest request, String name) {
        return Long.parseLong(request.getUri().query().get(name).orElse("0"));
    }

    private static CompletionStage<HttpResponse> json(Object value) {
        return EngineHandler.completed(HttpResponses.json(200, value));
    }
}
