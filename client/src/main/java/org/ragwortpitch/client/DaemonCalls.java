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
 * Asks a daemon.
 */
final class DaemonCalls {

    /**
     * How long a call may take, in milliseconds.
     */
    private static final long TIMEOUT_MILLIS = 15_000;

    /**
     * What stands in the message of a conflict.
     */
    private static final String CONFLICT = " answered 409: ";

    /**
     * The client for calls.
     */
    private final JsonClient client;

    /**
     * Where the daemon is reached.
     */
    private final String baseUri;

    /**
     * The operators' token.
     */
    private final String token;

    /**
     * Makes calls of a daemon.
     *
     * @param system  the actor system that connections belong to
     * @param address the daemon's operators' address, as host and port
     * @param token   the operators' token
     */
    DaemonCalls(ActorSystem system, String address, String token) {
        this.client = new JsonClient(system, 2 * TIMEOUT_MILLIS);
        this.baseUri = "http://" + address;
        this.token = token;
    }

    /**
     * Asks for the rules.
     *
     * @return the rules
     * @throws CommandException if the daemon does not answer as wanted
     */
    RulesDocument rules() throws CommandException {
        return get("/operator/rules", RulesDocument.class);
    }

    /**
     * Proposes rules.
     *
     * @param proposal the rules
     * @return the version
     * @throws CommandException if they are not accepted
     */
    long propose(RulesProposal proposal) throws CommandException {
        HttpRequest request = HttpRequest.POST(baseUri + "/operator/rules")
                .withEntity(ContentTypes.APPLICATION_JSON, Json.write(proposal));
        return await(send(request, RulesAccepted.class)).version();
    }

    /**
     * Asks for the status.
     *
     * @return the status
     * @throws CommandException if the daemon does not answer as wanted
     */
    StatusReport status() throws CommandException {
        return get("/operator/status", StatusReport.class);
    }

    /**
     * Asks for the usage.
     *
     * @return the usage
     * @throws CommandException if the daemon does not answer as wanted
     */
    UsageState usage() throws CommandException {
        return get("/operator/usage", UsageState.class);
    }

    /**
     * Asks for a value.
     *
     * @param path where
     * @param type the value's type
     * @param <T>  the value's type
     * @return the value
     * @throws CommandException if the daemon does not answer as wanted
     */
    private <T> T get(String path, Class<T> type) throws CommandException {
        return await(send(HttpRequest.GET(baseUri + path), type));
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param type    the answer's type
     * @param <T>     the answer's type
     * @return the answer
     */
    private <T> CompletionStage<T> send(HttpRequest request, Class<T> type) {
        return client.send(
                request.addHeader(RawHeader.create("Authorization", "Bearer " + token)), type, TIMEOUT_MILLIS);
    }

    /**
     * Waits for an answer.
     *
     * @param answer the answer
     * @param <T>    its type
     * @return the answer
     * @throws CommandException if the daemon does not answer as wanted
     */
    private static <T> T await(CompletionStage<T> answer) throws CommandException {
        try {
            return answer.toCompletableFuture().join();
        } catch (CompletionException exception) {
            throw toCommand(exception.getCause());
        }
    }

    /**
     * Turns a failed call into a failed command.
     *
     * @param failure the failure
     * @return the command's failure
     */
    private static CommandException toCommand(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        boolean refused =
                failure instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        if (!refused) {
            return new CommandException(ExitCode.NO_ANSWER, message + "; pass another daemon with --daemon");
        }
        ExitCode code = message.contains(CONFLICT) ? ExitCode.CONFLICT : ExitCode.FAILED;
        return new CommandException(code, remedyIn(message));
    }

    /**
     * Finds the daemon's own words in a message.
     *
     * @param message the message
     * @return the daemon's words, or the whole message
     */
    private static String remedyIn(String message) {
        int start = message.indexOf('{');
        if (start < 0) {
            return message;
        }
        try {
            JsonNode told = Json.mapper()
                    .readTree(message.substring(start))
                    .path("error")
                    .path("message");
            return told.isTextual() ? told.asText() : message;
        } catch (JsonProcessingException exception) {
            return message;
        }
    }
}
