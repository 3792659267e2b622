package org.ragwortpitch.edge.http;

/**
 * Gives up something under way; of no effect once it has ended.
 */
@FunctionalInterface
public interface Cancellation {

    /** Nothing is under way. */
    Cancellation NONE = () -> {};

    /**
     * Gives up.
     */
    void cancel();
}
