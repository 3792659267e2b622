package org.ragwortpitch.edge.http;

/**
 * What a request got.
 *
 * @param complete whether a response was passed on as complete; the other components are empty if not
 * @param status   of the response
 * @param seal     of the response; empty if it has none
 * @param body     of the response
 */
record Outcome(boolean complete, int status, String seal, String body) {

    /** No complete response. */
    static final Outcome FAILED = new Outcome(false, 0, "", "");
}
