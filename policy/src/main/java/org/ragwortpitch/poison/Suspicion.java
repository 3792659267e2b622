package org.ragwortpitch.poison;

/**
 * Whether a request is suspected of crashing endpoints.
 */
public enum Suspicion {
    /**
     * Not suspected: the request may run beside any others.
     */
    NONE,
    /**
     * The request was in flight when an endpoint crashed, perhaps only beside the cause. It must not run concurrently
     * with other suspected requests.
     */
    SUSPECT,
    /**
     * The request was in flight at as many crashes as the threshold, by default two, and beside no other
     * suspected request after the first. It is not run again.
     */
    REFUSED
}
