package org.ragwortpitch.edge.standin;

/**
 * Encodes the entries of endpoints.
 */
final class EndpointEntry {

    private EndpointEntry() {}

    static String json(
            String domain, String pool, int port, String version, String stage, String state, long startMillis) {
        return "{\"Service\":\"" + pool + "\",\"Address\":\"127.0.0.1:" + port
                + "\",\"Version\":\"" + version + "\",\"Zone\":\"" + domain + "\",\"Slots\":6,\"State\":\"" + state
                + "\",\"Stage\":\"" + stage
                + "\",\"Sequence\":1,\"born\":" + startMillis + "}";
    }
}
