package org.ragwortpitch.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.http.Json;

/**
 * The forms of model calls.
 */
public enum CallForm {
    /**
     * Messages in, a message out.
     */
    CHAT("chat.completion"),
    /**
     * Text in, text out.
     */
    TEXT("text_completion");

    /**
     * What the answer calls itself.
     */
    private final String object;

    /**
     * Makes a form.
     *
     * @param object what the answer calls itself
     */
    CallForm(String object) {
        this.object = object;
    }

    /**
     * Makes the piece of a streamed answer that tells a token or the finish.
     *
     * @param requestId the request's id
     * @param model     the model
     * @param event     the token or the finish
     * @return the piece's JSON text
     */
    public String chunk(String requestId, String model, EngineEvent event) {
        ObjectNode root = root(requestId, model, this == CHAT ? object + ".chunk" : object);
        ObjectNode choice = choice(root);
        if (this == CHAT) {
            ObjectNode delta = choice.putObject("delta");
            if (!event.finishes()) {
                delta.put("content", event.text());
            }
        } else {
            choice.put("text", event.text());
        }
        if (event.finishes()) {
            choice.put("finish_reason", event.finish());
            addUsage(root, event);
        } else {
            choice.putNull("finish_reason");
        }
        return root.toString();
    }

    /**
     * Makes a whole answer.
     *
     * @param requestId the request's id
     * @param model     the model
     * @param text      the generated text
     * @param finish    the finish
     * @return the answer's JSON text
     */
    public String whole(String requestId, String model, String text, EngineEvent finish) {
        ObjectNode root = root(requestId, model, object);
        ObjectNode choice = choice(root);
        if (this == CHAT) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finish.finish());
        addUsage(root, finish);
        return root.toString();
    }

    /**
     * Begins an answer.
     *
     * @param requestId the request's id
     * @param model     the model
     * @param name      what the answer calls itself
     * @return the answer
     */
    private static ObjectNode root(String requestId, String model, String name) {
        ObjectNode root = Json.mapper().createObjectNode();
        root.put("id", requestId);
        root.put("object", name);
        root.put("model", model);
        return root;
    }

    /**
     * Adds the only choice.
     *
     * @param root the answer
     * @return the choice
     */
    private static ObjectNode choice(ObjectNode root) {
        ArrayNode choices = root.putArray("choices");
        return choices.addObject().put("index", 0);
    }

    /**
     * Adds the usage.
     *
     * @param root   the answer
     * @param finish the finish
     */
    private static void addUsage(ObjectNode root, EngineEvent finish) {
        ObjectNode usage = root.putObject("usage");
        usage.put("prompt_tokens", finish.promptTokens());
        usage.put("completion_tokens", finish.index());
        usage.put("total_tokens", finish.promptTokens() + finish.index());
        usage.putObject("prompt_tokens_details").put("cached_tokens", finish.cachedTokens());
    }
}
