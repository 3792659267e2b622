package org.ragwortpitch.edge.http;

/**
 * A request that is being sent, or was.
 */
public interface OutboundSend extends Cancellation {

    /**
     * Returns whether bytes of the request may have left; false while its connection is being opened.
     */
    boolean hasBegun();
}
