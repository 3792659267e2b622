package org.ragwortpitch.edge.http;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory of responses that are being received over one or more pools. Once they exceed it together, the
 * largest ones fail, so that a peer which sends without end takes none from the others. Confined to the pools' thread.
 */
public final class ResponseMemory {

    private static final double TRAFFIC_FRACTION = 0.375;

    private static final double CONTROL_FRACTION = 0.125;

    /** Part for a single response, which leaves some for the others. */
    private static final double SINGLE_FRACTION = 0.65;

    private final long maxBytes;
    private final long maxResponseBytes;
    private final Map<OutboundConnection, Long> held = new HashMap<>();
    private long totalBytes;

    /**
     * Creates an unused memory.
     *
     * @param maxBytes         for all responses together, in bytes
     * @param maxResponseBytes for a single one, in bytes
     */
    public ResponseMemory(long maxBytes, long maxResponseBytes) {
        this.maxBytes = maxBytes;
        this.maxResponseBytes = maxResponseBytes;
    }

    /**
     * Returns a memory for the responses to requests of callers.
     */
    public static ResponseMemory forTraffic() {
        return ofHeap(TRAFFIC_FRACTION);
    }

    /**
     * Returns a memory for the responses to a daemon's own calls.
     */
    public static ResponseMemory forControl() {
        return ofHeap(CONTROL_FRACTION);
    }

    private static ResponseMemory ofHeap(double heapFraction) {
        long maxBytes = (long) (Runtime.getRuntime().maxMemory() * heapFraction);
        return new ResponseMemory(maxBytes, (long) (maxBytes * SINGLE_FRACTION));
    }

    /**
     * Records how much of a response is buffered, and fails the largest ones if that is too much.
     */
    void hold(OutboundConnection connection, long bytes) {
        set(connection, bytes);
        if (bytes > maxResponseBytes) {
            fail(connection);
        }
        while (totalBytes > maxBytes) {
            fail(held.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey());
        }
    }

    /**
     * Records that a connection holds nothing any more.
     */
    void release(OutboundConnection connection) {
        set(connection, 0);
    }

    private void fail(OutboundConnection connection) {
        release(connection);
        connection.overflow();
    }

    private void set(OutboundConnection connection, long bytes) {
        Long before = bytes == 0 ? held.remove(connection) : held.put(connection, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
    }
}
