package org.ragwortpitch.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.routing.RequestCost;

/**
 * A parsed request for a chat or text completion.
 *
 * @param format          the format of the request and its response
 * @param model           the model's name
 * @param prompt          the prompt's text
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param stream          whether to stream the response token by token
 */
public record ModelCall(CompletionFormat format, String model, String prompt, int maxOutputTokens, boolean stream) {

    /**
     * The estimated length of a token, in characters.
     */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Parses a request.
     *
     * @param format   the format of the request
     * @param body     the body
     * @param settings the settings
     * @return the request
     * @throws RefusedException with {@link ErrorKind#BAD_REQUEST} if the body is invalid
     */
    public static ModelCall parse(CompletionFormat format, String body, GatewaySettings settings)
            throws RefusedException {
        JsonNode root;
        try {
            root = Json.mapper().readTree(body);
        } catch (JsonProcessingException exception) {
            throw badRequest("the body is not valid JSON (" + exception.getOriginalMessage() + ")");
        }
        if (root == null || !root.isObject()) {
            throw badRequest("the body is not a JSON object");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            throw badRequest("'model' must be a non-empty string");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw badRequest("'stream' must be true or false");
        }
        return new ModelCall(
                format,
                model.asText(),
                format == CompletionFormat.CHAT ? chatPrompt(root.path("messages")) : textPrompt(root.path("prompt")),
                maxTokens(root, settings),
                stream.asBoolean(false));
    }

    private static int maxTokens(JsonNode root, GatewaySettings settings) throws RefusedException {
        JsonNode limit =
                root.has("max_completion_tokens") ? root.path("max_completion_tokens") : root.path("max_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            return settings.defaultOutputTokens();
        }
        if (!limit.isIntegralNumber()
                || !limit.canConvertToInt()
                || limit.asInt() < 1
                || limit.asInt() > settings.maxOutputTokens()) {
            throw badRequest("'max_tokens' must be an integer from 1 to " + settings.maxOutputTokens());
        }
        return limit.asInt();
    }

    private static String chatPrompt(JsonNode messages) throws RefusedException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw badRequest("'messages' must be a non-empty array of messages");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw badRequest("each message must have a 'role' and a 'content' that are strings");
            }
            prompt.append(message.path("role").asText()).append(": ");
            prompt.append(message.path("content").asText()).append('\n');
        }
        return prompt.toString();
    }

    private static String textPrompt(JsonNode prompt) throws RefusedException {
        if (!prompt.isTextual() || prompt.asText().isEmpty()) {
            throw badRequest("'prompt' must be a non-empty string");
        }
        return prompt.asText();
    }

    private static RefusedException badRequest(String problem) {
        return RefusedException.notRun(ErrorKind.BAD_REQUEST, problem + ": correct the request body and send it again");
    }

    /**
     * Estimates the length of the prompt from its number of characters.
     *
     * @return the estimated length, in tokens
     */
    public long promptTokens() {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Estimates the cost of the call for an endpoint. Each full prefix block is identified by the hash of the prompt up
     * to the end of the block, so that equal hashes mean, collisions aside, an equal prefix.
     *
     * @return the cost
     */
    public RequestCost cost() {
        int charactersPerBlock = RequestCost.TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
        List<Long> prefixBlocks = new ArrayList<>();
        int hash = 0;
        for (int index = 0; index < prompt.length(); index++) {
            hash = 31 * hash + prompt.charAt(index);
            if ((index + 1) % charactersPerBlock == 0) {
                prefixBlocks.add((long) hash);
            }
        }
        return new RequestCost(promptTokens(), maxOutputTokens, prefixBlocks);
    }
}
