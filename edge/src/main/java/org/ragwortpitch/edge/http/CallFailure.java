package org.ragwortpitch.edge.http;

/**
 * Why a call ended without a complete response.
 *
 * @param sent   whether the request may have reached the endpoint
 * @param reason a description for logs
 */
public record CallFailure(boolean sent, String reason) {

    /**
     * Returns the failure of a call whose connection could not be opened, so that nothing was sent.
     */
    public static CallFailure unsent(Throwable cause) {
        return new CallFailure(false, String.valueOf(cause.getMessage()));
    }

    /**
     * Returns the failure of a call whose request was sent wholly or partly, so that the endpoint may have run it.
     */
    public static CallFailure sent(String reason) {
        return new CallFailure(true, reason);
    }
}
