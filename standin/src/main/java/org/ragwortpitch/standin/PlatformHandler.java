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
import org.ragwortpitch.http.Json;
import org.ragwortpitch.http.Responses;
import org.ragwortpitch.platform.Acknowledgement;
import org.ragwortpitch.platform.AppendAnswer;
import org.ragwortpitch.platform.AppendCall;
import org.ragwortpitch.platform.EndpointList;
import org.ragwortpitch.platform.Instances;
import org.ragwortpitch.platform.ListedEndpoint;
import org.ragwortpitch.platform.UsageReport;
import org.ragwortpitch.platform.WeightAllowance;

/**
 * The platform stand-in's HTTP form.
 */
final class PlatformHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * The form of this class when it is sent elsewhere, which it never is.
     */
    private static final long serialVersionUID = 1;

    /**
     * How long reading a body may take, in milliseconds.
     */
    private static final long BODY_MILLIS = 5_000;

    /**
     * The actor system that the connections belong to.
     */
    private final transient ClassicActorSystemProvider system;

    /**
     * The log.
     */
    private final transient LogStandin log;

    /**
     * The usage reports.
     */
    private final transient UsageStandin usage;

    /**
     * The faults.
     */
    private final transient FaultSwitch faults;

    /**
     * The endpoints that are announced to be taken back, the only ones that are listed.
     */
    private final transient List<ListedEndpoint> reclaimed = new CopyOnWriteArrayList<>();

    /**
     * Makes a handler.
     *
     * @param system the actor system that the connections belong to
     * @param log    the log
     * @param usage  the usage reports
     * @param faults the faults
     */
    PlatformHandler(ClassicActorSystemProvider system, LogStandin log, UsageStandin usage, FaultSwitch faults) {
        this.system = system;
        this.log = log;
        this.usage = usage;
        this.faults = faults;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        return request.entity().toStrict(BODY_MILLIS, system).thenCompose(entity -> {
            try {
                return answer(request, entity.getData().utf8String());
            } catch (JsonProcessingException exception) {
                return EngineHandler.done(Responses.text(400, exception.getOriginalMessage()));
            }
        });
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param body    its body
     * @return the answer
     * @throws JsonProcessingException if the body is not as wanted
     */
    private CompletionStage<HttpResponse> answer(HttpRequest request, String body) throws JsonProcessingException {
        switch (request.getUri().path()) {
            case "/log/append":
                return append(Json.read(body, AppendCall.class));
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
                return EngineHandler.done(Responses.text(404, "no such path"));
        }
    }

    /**
     * Appends to the log.
     *
     * @param call the records
     * @return the answer, which may be late or lost
     */
    private CompletionStage<HttpResponse> append(AppendCall call) {
        if (faults.get().logOut()) {
            return EngineHandler.done(Responses.text(503, "the log is out"));
        }
        long offset = log.append(call.records(), System.currentTimeMillis());
        if (faults.hits(faults.get().appendAnswersLostPermille())) {
            return new CompletableFuture<>();
        }
        return late(json(new AppendAnswer(offset)));
    }

    /**
     * Reads from the log.
     *
     * @param request the request
     * @return the answer, which may be late
     */
    private CompletionStage<HttpResponse> read(HttpRequest request) {
        if (faults.get().logOut()) {
            return EngineHandler.done(Responses.text(503, "the log is out"));
        }
        long from = number(request, "from");
        int max = (int) number(request, "max");
        return late(log.read(from, max, number(request, "wait-millis")).thenApply(page -> Responses.json(200, page)));
    }

    /**
     * Takes a usage report.
     *
     * @param report the report
     * @return the answer, which may be lost
     */
    private CompletionStage<HttpResponse> report(UsageReport report) {
        if (faults.get().usageOut()) {
            return EngineHandler.done(Responses.text(503, "usage reports are out"));
        }
        usage.report(report);
        return faults.hits(faults.get().usageAnswersLostPermille())
                ? new CompletableFuture<>()
                : json(new Acknowledgement(true));
    }

    /**
     * Holds an answer back as long as the log is slow.
     *
     * @param answer the answer
     * @return the answer, later
     */
    private CompletionStage<HttpResponse> late(CompletionStage<HttpResponse> answer) {
        long delayMillis = faults.get().logDelayMillis();
        if (delayMillis <= 0) {
            return answer;
        }
        Executor later = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
        return answer.thenApplyAsync(response -> response, later);
    }

    /**
     * Reads a number of a request's query.
     *
     * @param request the request
     * @param name    the parameter's name
     * @return the number, or 0
     */
    private static long number(HttpRequest request, String name) {
        return Long.parseLong(request.getUri().query().get(name).orElse("0"));
    }

    /**
     * Makes an answer.
     *
     * @param value the body
     * @return the answer
     */
    private static CompletionStage<HttpResponse> json(Object value) {
        return EngineHandler.done(Responses.json(200, value));
    }
}
