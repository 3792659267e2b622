package org.ragwortpitch.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.http.JsonClient;
import org.ragwortpitch.operator.RulesAccepted;
import org.ragwortpitch.operator.RulesDocument;
import org.ragwortpitch.operator.RulesProposal;
import org.ragwortpitch.operator.StatusReport;
import org.ragwortpitch.platform.PlatformException;
import org.ragwortpitch.platform.PlatformFailure;
import org.ragwortpitch.usage.UsageState;

/**
 * Calls the operators' HTTP interface of one daemon. Calls block until the response arrives or times out.
 */
final class DaemonClient {

    private static final long TIMEOUT_MILLIS = 15_000;

    /**
     * Marks an HTTP 409 in the message of a {@link PlatformException}, which carries no status code of its own.
     */
    private static final String CONFLICT = " answered 409: ";

    private final JsonClient client;

    private final String baseUri;

    private final String token;

    /**
     * Creates a client of one daemon.
     *
     * @param system  the actor system that connections belong to
     * @param address the daemon's operators' address, as host:port
     * @param token   the operators' token, sent as a bearer token
     */
    DaemonClient(ActorSystem system, String address, String token) {
        this.client = new JsonClient(system, 2 * TIMEOUT_MILLIS);
        this.baseUri = "http://" + address;
        this.token = token;
    }

    /**
     * Fetches the rules in force with their version.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    RulesDocument rules() throws CommandException {
        return get("/operator/rules", RulesDocument.class);
    }

    /**
     * Submits rules for acceptance.
     *
     * @return the version under which the rules were accepted
     * @throws CommandException with {@link ExitCode#CONFLICT} if the rules in force have changed since the version that
     *     the proposal is based on, or if the daemon refuses the rules or does not answer
     */
    long propose(RulesProposal proposal) throws CommandException {
        HttpRequest request = HttpRequest.POST(baseUri + "/operator/rules")
                .withEntity(ContentTypes.APPLICATION_JSON, Json.write(proposal));
        return await(send(request, RulesAccepted.class)).version();
    }

    /**
     * Fetches the deployment's status as this daemon sees it.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    StatusReport status() throws CommandException {
        return get("/operator/status", StatusReport.class);
    }

    /**
     * Fetches the open, closed and reported usage windows.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    UsageState usage() throws CommandException {
        return get("/operator/usage", UsageState.class);
    }

    private <T> T get(String path, Class<T> type) throws CommandException {
        return await(send(HttpRequest.GET(baseUri + path), type));
    }

    private <T> CompletionStage<T> send(HttpRequest request, Class<T> type) {
        return client.send(
                request.addHeader(RawHeader.create("Authorization", "Bearer " + token)), type, TIMEOUT_MILLIS);
    }

    private static <T> T await(CompletionStage<T> answer) throws CommandException {
        try {
            return answer.toCompletableFuture().join();
        } catch (CompletionException exception) {
            throw toCommandException(exception.getCause());
        }
    }

    /**
     * Maps a refusal to FAILED or CONFLICT and every other failure to NO_ANSWER, as the call may have taken effect.
     */
    private static CommandException toCommandException(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        boolean refused =
                failure instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        if (!refused) {
            return new CommandException(ExitCode.NO_ANSWER, message + "; pass another daemon with --daemon");
        }
        ExitCode code = message.contains(CONFLICT) ? ExitCode.CONFLICT : ExitCode.FAILED;
        return new CommandException(code, errorMessage(message));
    }

    /**
     * Extracts {@code error.message} from the JSON body quoted in an exception's message; returns the whole message if
     * there is none.
     */
    private static String errorMessage(String message) {
        int start = message.indexOf('{');
        if (start < 0) {
            return message;
        }
        try {
            JsonNode text = Json.mapper()
                    .readTree(message.substring(start))
                    .path("error")
                    .path("message");
            return text.isTextual() ? text.asText() : message;
        } catch (JsonProcessingException exception) {
            return message;
        }
    }
}
