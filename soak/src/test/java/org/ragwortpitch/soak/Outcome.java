package org.ragwortpitch.soak;

import java.util.Optional;

/**
 * The outcome of one request as the caller observed it.
 *
 * @param status the HTTP status; 0 without a response
 * @param body   the response body; empty if it was not received in full
 * @param signed whether the response carried an endpoint's signature
 * @param cut    whether the connection ended before a complete response
 */
record Outcome(
        String attempt, String route, String daemon, int status, Optional<String> body, boolean signed, boolean cut) {

    boolean isServed() {
        return status == 200 && body.isPresent();
    }
}
