package org.ragwortpitch.response;

/**
 * What the attempt id of a response tells about the request that it answers.
 */
public enum ResponseOrigin {

    /** It answers the pending request. */
    PENDING_REQUEST,

    /** It bears another id and answers an earlier request. */
    OTHER_REQUEST,

    /** It bears no id, and may answer an earlier request on its connection. */
    UNKNOWN;

    /**
     * Returns the origin of a response.
     *
     * @param expectedId the attempt id of the pending request; empty if it has none
     * @param receivedId the attempt id in the response; empty if it has none
     * @param echoed     whether the receiver repeats the attempt id in every response
     * @param reused     whether the connection has carried another request before
     */
    public static ResponseOrigin of(String expectedId, String receivedId, boolean echoed, boolean reused) {
        if (receivedId.isEmpty()) {
            return echoed && reused ? UNKNOWN : PENDING_REQUEST;
        }
        return receivedId.equals(expectedId) ? PENDING_REQUEST : OTHER_REQUEST;
    }
}
