package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Learns from the connections of a pool which addresses can be reached. Called on the pool's thread.
 */
public interface ConnectionObserver {

    /** Ignores everything. */
    ConnectionObserver NONE = new ConnectionObserver() {

        @Override
        public void onHeard(String address) {}

        @Override
        public void onConnectFailed(String address) {}

        @Override
        public void onResponse(String address, int status, HttpHeaders headers) {}
    };

    /**
     * Called when a connection to an address has opened, and when data arrives on one.
     */
    void onHeard(String address);

    /**
     * Called when a connection to an address could not be opened.
     */
    void onConnectFailed(String address);

    /**
     * Called with the head of each response from an address that answers a request or call of this daemon.
     */
    void onResponse(String address, int status, HttpHeaders headers);

    /**
     * Called with each response that was not taken for the answer to the pending request.
     */
    default void onUnexpectedResponse(UnexpectedResponse response) {}
}
