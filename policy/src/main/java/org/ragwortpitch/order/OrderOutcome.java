package org.ragwortpitch.order;

/**
 * How an order was completed.
 */
public enum OrderOutcome {
    /**
     * The target acknowledged the order.
     */
    ACKNOWLEDGED,
    /**
     * The target rejected the order, for example because of an outdated fencing token.
     */
    REFUSED,
    /**
     * No byte of the order was sent, and none will be.
     */
    NEVER_WRITTEN
}
