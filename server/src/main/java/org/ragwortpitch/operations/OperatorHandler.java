package org.ragwortpitch.operations;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.Rule;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.ProposeRules;
import org.ragwortpitch.control.QueryState;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.gateway.ErrorAnswers;
import org.ragwortpitch.http.HttpResponses;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.operator.RulesAccepted;
import org.ragwortpitch.operator.RulesDocument;
import org.ragwortpitch.operator.RulesProposal;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Handles the operators' HTTP interface: health, readiness and metrics without authentication; status, usage and rules
 * with the operators' token.
 */
public final class OperatorHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * Required by the serializable function type; handlers are never serialized.
     */
    private static final long serialVersionUID = 1;

    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

    /**
     * The timeout for receiving a body, in milliseconds.
     */
    private static final long BODY_TIMEOUT_MILLIS = 30_000;

    /**
     * The timeout for a response of the control thread, in milliseconds.
     */
    private static final long CONTROL_TIMEOUT_MILLIS = 10_000;

    /**
     * The identifier in error responses, since operators' requests carry none.
     */
    private static final String PLACEHOLDER_REQUEST_ID = "operator";

    private final transient ClassicActorSystemProvider system;

    private final transient byte[] token;

    private final transient Supplier<Snapshot> snapshots;

    private final transient Consumer<ControlMessage> control;

    private final transient StatusBuilder status;

    private final transient ServerMetrics metrics;

    private final transient Clocks clocks;

    /**
     * Creates a handler.
     *
     * @param system    the actor system that connections belong to
     * @param token     the operators' token, as a bearer token
     * @param snapshots supplies the latest control state
     * @param control   sends messages to the control thread
     * @param status    builds status reports
     * @param metrics   the metrics
     * @param clocks    the clocks
     */
    public OperatorHandler(
            ClassicActorSystemProvider system,
            String token,
            Supplier<Snapshot> snapshots,
            Consumer<ControlMessage> control,
            StatusBuilder status,
            ServerMetrics metrics,
            Clocks clocks) {
        this.system = system;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.snapshots = snapshots;
        this.control = control;
        this.status = status;
        this.metrics = metrics;
        this.clocks = clocks;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        return request.entity()
                .withSizeLimit(MAX_BODY_BYTES)
                .toStrict(BODY_TIMEOUT_MILLIS, system)
                .thenCompose(entity -> answer(request, entity.getData().utf8String()))
                .exceptionally(failure -> ErrorAnswers.answer(ErrorAnswers.refusalOf(failure), PLACEHOLDER_REQUEST_ID));
    }

    private CompletionStage<HttpResponse> answer(HttpRequest request, String body) {
        Snapshot snapshot = snapshots.get();
        String path = request.getUri().path();
        boolean get = request.method().equals(HttpMethods.GET);
        switch (path) {
            case "/healthz":
                return done(HttpResponses.text(200, "ok\n"));
            case "/readyz":
                boolean ready = snapshot.isMember() && !snapshot.leaving();
                return done(HttpResponses.text(ready ? 200 : 503, ready ? "ready\n" : "not a member, or leaving\n"));
            case "/metrics":
                return done(HttpResponses.text(200, metrics.scrape()));
            default:
                break;
        }
        if (!isOperator(request)) {
            return failed(ErrorKind.BAD_KEY, "the operators' token is missing or wrong: pass it with --token");
        }
        switch (path) {
            case "/operator/status":
                return done(HttpResponses.json(200, status.build(snapshot, clocks.nowMillis())));
            case "/operator/usage":
                return query(new QueryState<>(state -> state.usage().state(), new CompletableFuture<>()));
            case "/operator/rules":
                return get
                        ? query(new QueryState<>(
                                state -> new RulesDocument(
                                        state.configuration().version(),
                                        state.configuration().lines()),
                                new CompletableFuture<>()))
                        : propose(body);
            default:
                return failed(ErrorKind.NOT_FOUND, "no such path: this is the operators' interface");
        }
    }

    /**
     * Returns whether a request carries the operators' token, compared in constant time.
     */
    private boolean isOperator(HttpRequest request) {
        for (HttpHeader header : request.getHeaders()) {
            if (header.lowercaseName().equals("authorization")) {
                byte[] presented =
                        header.value().replaceFirst("(?i)^bearer ", "").getBytes(StandardCharsets.UTF_8);
                return MessageDigest.isEqual(presented, token);
            }
        }
        return false;
    }

    /**
     * Queries the control thread.
     *
     * @param <T> the type of the value, which is returned as JSON
     */
    private <T> CompletionStage<HttpResponse> query(QueryState<T> query) {
        control.accept(query);
        return query.result()
                .orTimeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .thenApply(value -> HttpResponses.json(200, value));
    }

    /**
     * Proposes new rules. If the control thread does not respond in time, the outcome is unknown.
     *
     * @param body the proposal, as JSON
     */
    private CompletionStage<HttpResponse> propose(String body) {
        try {
            RulesProposal proposal = Json.read(body, RulesProposal.class);
            List<Rule> rules = Configuration.parse(proposal.text()).rules();
            CompletableFuture<Long> result = new CompletableFuture<>();
            control.accept(new ProposeRules(proposal.basedOn(), rules, proposal.operator(), result));
            return result.orTimeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                            failure instanceof TimeoutException ? outcomeUnknown() : failure))
                    .thenApply(version -> HttpResponses.json(200, new RulesAccepted(version)));
        } catch (JsonProcessingException exception) {
            return failed(ErrorKind.BAD_REQUEST, "the proposal is malformed: " + exception.getOriginalMessage());
        } catch (InvalidRulesException exception) {
            return failed(ErrorKind.BAD_REQUEST, exception.getMessage());
        }
    }

    /**
     * Returns the refusal of a proposal whose outcome is unknown, because the control log has not confirmed it in time.
     */
    private static RefusedException outcomeUnknown() {
        return new RefusedException(
                ErrorKind.TIMED_OUT,
                ExecutionState.UNKNOWN,
                0,
                "the control log has not confirmed the change, which may still take effect: check 'rules show' before "
                        + "applying it again");
    }

    private static CompletionStage<HttpResponse> failed(ErrorKind kind, String message) {
        return done(ErrorAnswers.answer(RefusedException.notRun(kind, message), PLACEHOLDER_REQUEST_ID));
    }

    private static CompletionStage<HttpResponse> done(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
