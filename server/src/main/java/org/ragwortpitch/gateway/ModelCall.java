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
 * A model call as a caller sent it.
 *
 * @param form            the form of the call
 * @param model           the model's name
 * @param prompt          the prompt's text
 * @param maxOutputTokens the most tokens to generate
 * @param stream          whether the answer is to come token by token
 */
public record ModelCall(CallForm form, String model, String prompt, int maxOutputTokens, boolean stream) {

    /**
     * How many characters are taken for a token.
     */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Reads a call.
     *
     * @param form     the form of the call
     * @param body     the body
     * @param settings the settings
     * @return the call
     * @throws RefusedException if the body is not as wanted
     */
    public static ModelCall parse(CallForm form, String body, GatewaySettings settings) throws RefusedException {
        JsonNode root;
        try {
            root = Json.mapper().readTree(body);
        } catch (JsonProcessingException exception) {
            throw bad("the body is no JSON (" + exception.getOriginalMessage() + ")");
        }
        if (root == null || !root.isObject()) {
            throw bad("the body is no JSON object");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            throw bad("'model' is no text");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw bad("'stream' is neither true nor false");
        }
        return new ModelCall(
                form,
                model.asText(),
                form == CallForm.CHAT ? chatPrompt(root.path("messages")) : textPrompt(root.path("prompt")),
                maxTokens(root, settings),
                stream.asBoolean(false));
    }

    /**
     * Reads the most tokens to generate.
     *
     * @param root     the body
     * @param settings the settings
     * @return the number
     * @throws RefusedException if it is out of bounds
     */
    private static int maxTokens(JsonNode root, GatewaySettings settings) throws RefusedException {
        JsonNode given =
                root.has("max_completion_tokens") ? root.path("max_completion_tokens") : root.path("max_tokens");
        if (given.isMissingNode() || given.isNull()) {
            return settings.defaultOutputTokens();
        }
        if (!given.isIntegralNumber()
                || !given.canConvertToInt()
                || given.asInt() < 1
                || given.asInt() > settings.maxOutputTokens()) {
            throw bad("'max_tokens' is no whole number from 1 to " + settings.maxOutputTokens());
        }
        return given.asInt();
    }

    /**
     * Makes a prompt of messages.
     *
     * @param messages the messages
     * @return the prompt
     * @throws RefusedException if they are not as wanted
     */
    private static String chatPrompt(JsonNode messages) throws RefusedException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw bad("'messages' is no list of messages");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw bad("a message lacks a 'role' or a 'content' that is text");
            }
            prompt.append(message.path("role").asText()).append(": ");
            prompt.append(message.path("content").asText()).append('\n');
        }
        return prompt.toString();
    }

    /**
     * Reads a plain prompt.
     *
     * @param prompt the prompt
     * @return its text
     * @throws RefusedException if it is no text
     */
    private static String textPrompt(JsonNode prompt) throws RefusedException {
        if (!prompt.isTextual() || prompt.asText().isEmpty()) {
            throw bad("'prompt' is no text");
        }
        return prompt.asText();
    }

    /**
     * Makes the refusal of a malformed call.
     *
     * @param problem what is wrong
     * @return the refusal
     */
    private static RefusedException bad(String problem) {
        return RefusedException.notRun(ErrorKind.BAD_REQUEST, problem + ": correct the body and send it again");
    }

    /**
     * Estimates the prompt's tokens.
     *
     * @return the tokens
     */
    public long promptTokens() {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Tells what the call asks of an endpoint.
     *
     * @return the demand
     */
    public RequestCost demand() {
        int characters = RequestCost.TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
        List<Long> pieces = new ArrayList<>();
        int hash = 0;
        for (int index = 0; index < prompt.length(); index++) {
            hash = 31 * hash + prompt.charAt(index);
            if ((index + 1) % characters == 0) {
                pieces.add((long) hash);
            }
        }
        return new RequestCost(promptTokens(), maxOutputTokens, pieces);
    }
}
