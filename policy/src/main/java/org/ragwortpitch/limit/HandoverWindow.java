package org.ragwortpitch.limit;

/**
 * Tracks whether an account's quota may be in handover from one owner to another, so that a retry soon may succeed.
 * Confined to one thread.
 */
public final class HandoverWindow {

    /**
     * The time within which a previous owner that is still running hands over its share, in milliseconds, allowing for
     * slow messages between daemons. A handover that takes longer waits for a lease to expire.
     */
    public static final long HANDOVER_MILLIS = 1_000;

    private long changedOffset = -1;
    private long changedMillis = Long.MIN_VALUE / 2;

    /**
     * Records the applied state.
     *
     * @param newChangedOffset the log offset at which members or rules last changed
     */
    public void update(long newChangedOffset, long nowMillis) {
        if (newChangedOffset != changedOffset) {
            changedOffset = newChangedOffset;
            changedMillis = nowMillis;
        }
    }

    /**
     * Returns whether a refusal may be due to a handover and is to be retried. A daemon that answers {@link
     * AdmissionKind#NOT_HOME} has applied a different list of members from the requesting daemon.
     *
     * @param firstRequestMillis when the request first needed quota
     */
    public boolean isRetryable(AdmissionKind refusal, long firstRequestMillis, long nowMillis) {
        return switch (refusal) {
            case NOT_HOME -> nowMillis - firstRequestMillis < HANDOVER_MILLIS;
            case NOT_READY -> nowMillis - changedMillis < HANDOVER_MILLIS;
            default -> false;
        };
    }
}
