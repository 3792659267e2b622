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
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.Ran;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.Rule;
import org.ragwortpitch.control.AskState;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.ProposeRules;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.gateway.ErrorAnswers;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.http.Responses;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.operator.RulesAccepted;
import org.ragwortpitch.operator.RulesDocument;
import org.ragwortpitch.operator.RulesProposal;

/**
 * Answers operators.
 */
public final class OperatorHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * The form of this class when it is sent elsewhere, which it never is.
     */
    private static final long serialVersionUID = 1;

    /**
     * The longest body, in bytes.
     */
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

    /**
     * How long an operator may take to send a body, in milliseconds.
     */
    private static final long BODY_MILLIS = 30_000;

    /**
     * How long control may take to answer, in milliseconds.
     */
    private static final long CONTROL_MILLIS = 10_000;

    /**
     * What stands for a request's id.
     */
    private static final String NO_ID = "operator";

    /**
     * The actor system that connections belong to.
     */
    private final transient ClassicActorSystemProvider system;

    /**
     * The operators' token.
     */
    private final transient byte[] token;

    /**
     * Supplies control state.
     */
    private final transient Supplier<Snapshot> snapshots;

    /**
     * Sends messages to the control thread.
     */
    private final transient Consumer<ControlMessage> control;

    /**
     * Makes status reports.
     */
    private final transient StatusBuilder status;

    /**
     * The metrics.
     */
    private final transient ServerMetrics metrics;

    /**
     * The clocks.
     */
    private final transient Clocks clocks;

    /**
     * Makes a handler.
     *
     * @param system    the actor system that connections belong to
     * @param token     the operators' token
     * @param snapshots supplies control state
     * @param control   sends messages to the control thread
     * @param status    makes status reports
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
                .toStrict(BODY_MILLIS, system)
                .thenCompose(entity -> answer(request, entity.getData().utf8String()))
                .exceptionally(failure -> ErrorAnswers.answer(ErrorAnswers.refusalOf(failure), NO_ID));
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param body    its body
     * @return the answer
     */
    private CompletionStage<HttpResponse> answer(HttpRequest request, String body) {
        Snapshot snapshot = snapshots.get();
        String path = request.getUri().path();
        boolean get = request.method().equals(HttpMethods.GET);
        switch (path) {
            case "/healthz":
                return done(Responses.text(200, "ok\n"));
            case "/readyz":
                boolean ready = snapshot.isMember() && !snapshot.leaving();
                return done(Responses.text(ready ? 200 : 503, ready ? "ready\n" : "not a member, or leaving\n"));
            case "/metrics":
                return done(Responses.text(200, metrics.scrape()));
            default:
                break;
        }
        if (!isOperator(request)) {
            return failed(ErrorKind.BAD_KEY, "the operators' token is missing or wrong: pass it with --token");
        }
        switch (path) {
            case "/operator/status":
                return done(Responses.json(200, status.build(snapshot, clocks.nowMillis())));
            case "/operator/usage":
                return ask(new AskState<>(fold -> fold.usage().state(), new CompletableFuture<>()));
            case "/operator/rules":
                return get
                        ? ask(new AskState<>(
                                fold -> new RulesDocument(
                                        fold.configuration().version(),
                                        fold.configuration().lines()),
                                new CompletableFuture<>()))
                        : propose(body);
            default:
                return failed(ErrorKind.NOT_FOUND, "no such path: this is the operators' interface");
        }
    }

    /**
     * Tells whether a request carries the operators' token.
     *
     * @param request the request
     * @return whether it does
     */
    private boolean isOperator(HttpRequest request) {
        for (HttpHeader header : request.getHeaders()) {
            if (header.lowercaseName().equals("authorization")) {
                byte[] given = header.value().replaceFirst("(?i)^bearer ", "").getBytes(StandardCharsets.UTF_8);
                return MessageDigest.isEqual(given, token);
            }
        }
        return false;
    }

    /**
     * Asks control for a value.
     *
     * @param question the question
     * @param <T>      the type of the value
     * @return the answer
     */
    private <T> CompletionStage<HttpResponse> ask(AskState<T> question) {
        control.accept(question);
        return question.result()
                .orTimeout(CONTROL_MILLIS, TimeUnit.MILLISECONDS)
                .thenApply(value -> Responses.json(200, value));
    }

    /**
     * Proposes rules.
     *
     * @param body the proposal
     * @return the answer
     */
    private CompletionStage<HttpResponse> propose(String body) {
        try {
            RulesProposal proposal = Json.read(body, RulesProposal.class);
            List<Rule> rules = Configuration.parse(proposal.text()).rules();
            CompletableFuture<Long> result = new CompletableFuture<>();
            control.accept(new ProposeRules(proposal.basedOn(), rules, proposal.operator(), result));
            return result.orTimeout(CONTROL_MILLIS, TimeUnit.MILLISECONDS)
                    .exceptionallyCompose(failure ->
                            CompletableFuture.failedFuture(failure instanceof TimeoutException ? undecided() : failure))
                    .thenApply(version -> Responses.json(200, new RulesAccepted(version)));
        } catch (JsonProcessingException exception) {
            return failed(ErrorKind.BAD_REQUEST, "the proposal is malformed: " + exception.getOriginalMessage());
        } catch (InvalidRulesException exception) {
            return failed(ErrorKind.BAD_REQUEST, exception.getMessage());
        }
    }

    /**
     * Makes the refusal of a proposal that the log has not answered.
     *
     * @return the refusal
     */
    private static RefusedException undecided() {
        return new RefusedException(
                ErrorKind.TIMED_OUT,
                Ran.UNKNOWN,
                0,
                "the log has not answered: the change may still take effect; look with 'rules show' before you apply "
                        + "it again");
    }

    /**
     * Makes a refusal.
     *
     * @param kind    the kind of error
     * @param message what is wrong, and the remedy
     * @return the answer
     */
    private static CompletionStage<HttpResponse> failed(ErrorKind kind, String message) {
        return done(ErrorAnswers.answer(RefusedException.notRun(kind, message), NO_ID));
    }

    /**
     * Wraps an answer that is there already.
     *
     * @param response the answer
     * @return the answer
     */
    private static CompletionStage<HttpResponse> done(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
