package org.ragwortpitch.edge.http;

/**
 * Why a call ended without a complete response.
 *
 * @param sent   whether the request may have reached the endpoint
 * @param reason a description for logs
 */
public record Breakage(boolean sent, String reason) {

    /**
     * Returns the failure of a call whose connection could not be opened, so that nothing was sent.
     */
    public static Breakage unsent(Throwable cause) {
        return new Breakage(false, String.valueOf(cause.getMessage()));
    }

    /**
     * Returns the failure of a call whose request was sent wholly or partly, so that the endpoint may have run it.
     */
    public static Breakage sent(String reason) {
        return new Breakage(true, reason);
    }
}
