package org.ragwortpitch.edge.http;

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
    };

    /**
     * Called when a connection to an address has opened, and when data arrives on one.
     */
    void onHeard(String address);

    /**
     * Called when a connection to an address could not be opened.
     */
    void onConnectFailed(String address);
}
