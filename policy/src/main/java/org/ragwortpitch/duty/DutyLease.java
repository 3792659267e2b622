package org.ragwortpitch.duty;

/**
 * Lease on the duties, derived from this daemon's membership of a group in the store. The lease runs from before the
 * answered call was sent, by a clock that also counts the time of a freeze. A daemon whose lease was interrupted acts
 * again only after a wait, so that two holders can't alternate within that time; where the platform doesn't check
 * fencing tokens, each new holder waits. Confined to one thread.
 */
public final class DutyLease {

    private final long ttlMillis;
    private final long waitMillis;
    private final boolean fenced;
    private boolean held;
    private boolean interrupted = true;
    private long generation;
    private long acquiredMillis;
    private long expiresMillis;
    private long lastActMillis;

    /**
     * Creates a lease that isn't held.
     *
     * @param ttlMillis  time after which the store expires a silent member, in milliseconds
     * @param waitMillis shortest time between actions of two alternating holders, in milliseconds
     * @param fenced     whether the platform checks fencing tokens
     * @param nowMillis  the present time; an earlier incarnation of this daemon may have acted until now
     */
    public DutyLease(long ttlMillis, long waitMillis, boolean fenced, long nowMillis) {
        this.ttlMillis = ttlMillis;
        this.waitMillis = waitMillis;
        this.fenced = fenced;
        this.lastActMillis = nowMillis;
    }

    /**
     * Applies the store's response to a join or heartbeat.
     *
     * @param assigned   whether the partition of the duties is assigned to this member
     * @param sentMillis when the call was sent
     * @param nowMillis  the present time
     */
    public void onJoined(boolean assigned, long newGeneration, long sentMillis, long nowMillis) {
        boolean stillHeld = held && nowMillis < expiresMillis;
        generation = newGeneration;
        held = assigned;
        expiresMillis = sentMillis + ttlMillis;
        if (assigned && !stillHeld) {
            acquiredMillis = nowMillis;
        }
        if (!assigned || !stillHeld) {
            interrupted = true;
        }
    }

    /**
     * Releases the lease.
     */
    public void release() {
        held = false;
        interrupted = true;
    }

    /**
     * Releases the lease and forgets its generation, as the store has come back from an older copy.
     */
    public void forget() {
        release();
        generation = 0;
    }

    /**
     * Returns whether this daemon may act now, and if so records the time as its last action.
     */
    public boolean mayAct(long nowMillis) {
        if (!held || nowMillis >= expiresMillis) {
            return false;
        }
        long from = fenced ? lastActMillis : Math.max(lastActMillis, acquiredMillis);
        if (interrupted && nowMillis - from < waitMillis) {
            return false;
        }
        interrupted = false;
        lastActMillis = nowMillis;
        return true;
    }

    /**
     * Returns the newest generation that the store has reported; 0 if none. No two members hold the duties in one
     * generation.
     */
    public long generation() {
        return generation;
    }
}
