package org.ragwortpitch.order;

/**
 * How an order ended.
 */
public enum OrderOutcome {
    /**
     * The target acknowledged it.
     */
    ACKNOWLEDGED,
    /**
     * The target refused it, for example for its fencing number.
     */
    REFUSED,
    /**
     * No byte of it was written, and none will be.
     */
    NEVER_WRITTEN
}
