package org.ragwortpitch.edge.http;

/**
 * Cancels an operation in progress; without effect once the operation has ended.
 */
@FunctionalInterface
public interface Cancellation {

    /** Has no operation to cancel. */
    Cancellation NONE = () -> {};

    /**
     * Cancels the operation.
     */
    void cancel();
}
