package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer to a call.
 */
public record CallAnswer(int status, HttpHeaders headers, byte[] body) {

    private static final int FIRST_ERROR_STATUS = 300;

    /**
     * Tells whether the call succeeded.
     */
    public boolean isOk() {
        return status < FIRST_ERROR_STATUS;
    }
}
