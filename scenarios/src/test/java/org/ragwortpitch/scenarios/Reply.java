package org.ragwortpitch.scenarios;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.ragwortpitch.http.Json;

/**
 * An HTTP response as the caller received it.
 */
record Reply(int status, String body) {

    JsonNode json() throws JsonProcessingException {
        return Json.mapper().readTree(body);
    }

    /**
     * Parses the body as a stream of server-sent events. The text counts as finished only if both a finish reason and
     * the final {@code [DONE]} event are present.
     */
    StreamedText streamed() throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        boolean finished = false;
        boolean done = false;
        for (String line : body.split("\n")) {
            if (line.equals("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: ")) {
                JsonNode choice = Json.mapper()
                        .readTree(line.substring(6))
                        .path("choices")
                        .path(0);
                text.append(choice.path("delta").path("content").asText(""));
                finished |= choice.path("finish_reason").isTextual();
            }
        }
        return new StreamedText(text.toString(), finished && done);
    }

    String ran() throws JsonProcessingException {
        return json().path("error").path("ran").asText();
    }

    String kind() throws JsonProcessingException {
        return json().path("error").path("kind").asText();
    }
}
