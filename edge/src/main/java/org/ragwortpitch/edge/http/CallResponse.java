package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response to a call.
 */
public record CallResponse(int status, HttpHeaders headers, byte[] body) {

    private static final int FIRST_ERROR_STATUS = 300;

    /**
     * Returns whether the status is below 300.
     */
    public boolean isOk() {
        return status < FIRST_ERROR_STATUS;
    }
}
