package org.ragwortpitch.soak;

import java.util.Optional;

/**
 * The outcome of one request as the caller observed it.
 *
 * @param framing how the body of the request was sent
 * @param status the HTTP status; 0 without a response
 * @param body   the response body; empty if it was not received in full
 * @param seal   the endpoint's signature on the response; empty without one
 * @param cut    whether the connection ended before a complete response
 */
record Outcome(
        String attempt,
        String route,
        RequestFraming framing,
        String daemon,
        int status,
        Optional<String> body,
        String seal,
        boolean cut) {

    boolean isServed() {
        return status == 200 && body.isPresent();
    }

    boolean isStream() {
        return "ask".equals(route) || "once".equals(route);
    }
}
