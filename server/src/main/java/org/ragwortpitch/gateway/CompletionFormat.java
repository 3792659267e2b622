package org.ragwortpitch.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.http.Json;

/**
 * The response formats of the model API: chat completions and text completions.
 */
public enum CompletionFormat {
    /**
     * Chat completion: takes messages, returns a message.
     */
    CHAT("chat.completion"),
    /**
     * Text completion: takes a prompt, returns text.
     */
    TEXT("text_completion");

    /**
     * The value of {@code object} in responses.
     */
    private final String objectType;

    CompletionFormat(String objectType) {
        this.objectType = objectType;
    }

    /**
     * Returns one chunk of a streaming response.
     *
     * @param requestId the request's id
     * @param model     the model
     * @param event     a token, or the finish event with reason and usage
     * @return the chunk as JSON
     */
    public String chunk(String requestId, String model, EngineEvent event) {
        ObjectNode root = createRoot(requestId, model, this == CHAT ? objectType + ".chunk" : objectType);
        ObjectNode choice = addChoice(root);
        if (this == CHAT) {
            ObjectNode delta = choice.putObject("delta");
            if (!event.endsStream()) {
                delta.put("content", event.text());
            }
        } else {
            choice.put("text", event.text());
        }
        if (event.endsStream()) {
            choice.put("finish_reason", event.finish());
            addUsage(root, event);
        } else {
            choice.putNull("finish_reason");
        }
        return root.toString();
    }

    /**
     * Returns a complete, non-streaming response.
     *
     * @param requestId the request's id
     * @param model     the model
     * @param text      the generated text
     * @param finish    the finish event, with reason and usage
     * @return the response as JSON
     */
    public String response(String requestId, String model, String text, EngineEvent finish) {
        ObjectNode root = createRoot(requestId, model, objectType);
        ObjectNode choice = addChoice(root);
        if (this == CHAT) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finish.finish());
        addUsage(root, finish);
        return root.toString();
    }

    private static ObjectNode createRoot(String requestId, String model, String type) {
        ObjectNode root = Json.mapper().createObjectNode();
        root.put("id", requestId);
        root.put("object", type);
        root.put("model", model);
        return root;
    }

    private static ObjectNode addChoice(ObjectNode root) {
        ArrayNode choices = root.putArray("choices");
        return choices.addObject().put("index", 0);
    }

    private static void addUsage(ObjectNode root, EngineEvent finish) {
        ObjectNode usage = root.putObject("usage");
        usage.put("prompt_tokens", finish.promptTokens());
        usage.put("completion_tokens", finish.index());
        usage.put("total_tokens", finish.promptTokens() + finish.index());
        usage.putObject("prompt_tokens_details").put("cached_tokens", finish.cachedTokens());
    }
}
