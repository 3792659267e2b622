package org.ragwortpitch.edge.directory;

import java.nio.charset.StandardCharsets;

/**
 * An answer to a small question.
 */
public record SmallAnswer(int status, String contentType, byte[] body) {

    /**
     * Makes an answer of JSON.
     */
    public static SmallAnswer json(byte[] body) {
        return new SmallAnswer(200, "application/json", body);
    }

    /**
     * Makes an answer of text.
     */
    public static SmallAnswer text(int status, String body) {
        return new SmallAnswer(status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
    }
}
