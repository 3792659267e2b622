package org.ragwortpitch.soak;

import java.util.Optional;

/**
 * What a caller saw of one request.
 *
 * @param status the answer's status; 0 if there was none
 * @param body   the answer's body, as far as it came whole
 * @param signed whether the answer bore an endpoint's signature
 * @param cut    whether the connection ended without a whole answer
 */
record Outcome(
        String attempt, String route, String daemon, int status, Optional<String> body, boolean signed, boolean cut) {

    boolean isServed() {
        return status == 200 && body.isPresent();
    }
}
