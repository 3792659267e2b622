package org.ragwortpitch.edge.http;

/**
 * Why no complete answer came.
 *
 * @param sent   whether the request may have reached the endpoint
 * @param reason for logs
 */
public record Breakage(boolean sent, String reason) {

    /**
     * The connection could not be opened, so nothing was sent.
     */
    public static Breakage unsent(Throwable cause) {
        return new Breakage(false, String.valueOf(cause.getMessage()));
    }

    /**
     * The request was sent, wholly or partly.
     */
    public static Breakage sent(String reason) {
        return new Breakage(true, reason);
    }
}
