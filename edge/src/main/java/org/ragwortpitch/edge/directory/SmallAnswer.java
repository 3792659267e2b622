package org.ragwortpitch.edge.directory;

import java.nio.charset.StandardCharsets;

/**
 * Response of the directory server.
 */
public record SmallAnswer(int status, String contentType, byte[] body) {

    /**
     * Creates a JSON response with status 200.
     */
    public static SmallAnswer json(byte[] body) {
        return new SmallAnswer(200, "application/json", body);
    }

    /**
     * Creates a plain-text response.
     */
    public static SmallAnswer text(int status, String body) {
        return new SmallAnswer(status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
    }
}
