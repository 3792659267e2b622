package org.ragwortpitch.limit;

/**
 * Whether an account is just being handed from one home to another, so that asking again soon may help. Confined to one
 * thread.
 */
public final class HandoverWindow {

    /**
     * How long a former home that lives takes to surrender, in milliseconds, with a slow exchange between daemons; what
     * takes longer waits for a lease.
     */
    public static final long HANDOVER_MILLIS = 1_000;

    private long changedOffset = -1;
    private long changedMillis = Long.MIN_VALUE / 2;

    /**
     * Notes what applies now.
     *
     * @param newChangedOffset where members or rules last changed
     */
    public void follow(long newChangedOffset, long nowMillis) {
        if (newChangedOffset != changedOffset) {
            changedOffset = newChangedOffset;
            changedMillis = nowMillis;
        }
    }

    /**
     * Tells whether a refusal is worth asking again for. A daemon that says that it is no home has read another list of
     * members than the one that asked.
     *
     * @param askedMillis when the request first asked
     */
    public boolean mayPass(AdmissionKind refusal, long askedMillis, long nowMillis) {
        return switch (refusal) {
            case NOT_HOME -> nowMillis - askedMillis < HANDOVER_MILLIS;
            case NOT_READY -> nowMillis - changedMillis < HANDOVER_MILLIS;
            default -> false;
        };
    }
}
