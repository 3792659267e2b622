package org.ragwortpitch.duty;

import java.util.OptionalLong;

/**
 * Lease on the duties, derived from this daemon's membership of a group in the store. The lease runs from before the
 * answered call was sent, by a clock that also counts the time of a freeze. A daemon whose lease was interrupted acts
 * again only after a wait, so that two holders can't alternate within that time.
 *
 * <p>Where the platform doesn't check fencing tokens, calls of an earlier holder have to be executed before the first
 * action of the next. They are sent before the store assigns the duties anew, and executed within the same wait or not
 * at all. So a new holder waits from the assignment, or from when it knew that the process of the holder just before it
 * had ended; a holder that keeps its generation doesn't wait. Confined to one thread.
 */
public final class DutyLease {

    private static final long NONE = -1;

    private final long ttlMillis;
    private long waitMillis;
    private final boolean fenced;
    private boolean held;
    private boolean interrupted = true;
    private long generation;
    private long acquiredMillis;
    private long expiresMillis;
    private long lastActMillis;
    private long actedGeneration = NONE;
    private long assignedGeneration = NONE;
    private int leavesUnderWay;
    private long leaveSettledMillis = Long.MIN_VALUE;
    private OptionalLong predecessorEndedMillis = OptionalLong.empty();
    private boolean predecessorIsSelf;

    /**
     * Creates a lease that isn't held.
     *
     * @param ttlMillis  time after which the store expires a silent member, in milliseconds
     * @param waitMillis shortest time between actions of two alternating holders, in milliseconds; without fencing also
     *                   the longest time after which a call without an answer is executed
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
     * Sets the shortest time between actions of two alternating holders, in milliseconds.
     */
    public void configure(long newWaitMillis) {
        waitMillis = newWaitMillis;
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
        if (stillHeld && assigned && actedGeneration == generation && newGeneration == generation + 1) {
            // Members come and go all the time. In two generations in a row, nobody else held the duties between.
            actedGeneration = newGeneration;
        }
        generation = newGeneration;
        // A leave that was not answered may be executed after this call, and the duties assigned to another member.
        held = assigned && (fenced || leavesUnderWay == 0 && sentMillis >= leaveSettledMillis);
        expiresMillis = sentMillis + ttlMillis;
        if (held && assignedGeneration != newGeneration) {
            assignedGeneration = newGeneration;
            acquiredMillis = nowMillis;
            predecessorEndedMillis = OptionalLong.empty();
        }
        if (!held || !stillHeld) {
            interrupted = true;
        }
    }

    /**
     * Records that a call by which this member leaves the group is under way. Joins that are sent before it has been
     * answered may be executed before it.
     */
    public void leaveSent() {
        leavesUnderWay++;
    }

    /**
     * Records that the store has answered the call by which this member leaves the group.
     */
    public void leaveAnswered(long nowMillis) {
        settleLeave(nowMillis);
    }

    /**
     * Records that a call by which this member leaves the group was not answered, so that it may be executed later.
     *
     * @param sentMillis when the call was sent
     */
    public void leaveUnanswered(long sentMillis) {
        settleLeave(sentMillis + waitMillis);
    }

    private void settleLeave(long settledMillis) {
        leavesUnderWay--;
        leaveSettledMillis = Math.max(leaveSettledMillis, settledMillis);
    }

    /**
     * Records that the process of the holder just before this one has ended. Holds for the present generation.
     *
     * @param endedMillis a time at which that process had ended
     * @param self        whether it was an earlier incarnation of this daemon
     */
    public void predecessorEnded(long endedMillis, boolean self) {
        predecessorEndedMillis = OptionalLong.of(endedMillis);
        predecessorIsSelf = self;
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
        actedGeneration = NONE;
        assignedGeneration = NONE;
    }

    /**
     * Returns whether the lease is held now, even if this daemon may not act yet.
     */
    public boolean isHeld(long nowMillis) {
        return held && nowMillis < expiresMillis;
    }

    /**
     * Returns whether this daemon may act now, and if so records the time as its last action.
     */
    public boolean mayAct(long nowMillis) {
        if (!isHeld(nowMillis) || nowMillis < (fenced ? fencedStartMillis() : unfencedStartMillis())) {
            return false;
        }
        interrupted = false;
        actedGeneration = generation;
        lastActMillis = nowMillis;
        return true;
    }

    private long fencedStartMillis() {
        return interrupted ? lastActMillis + waitMillis : Long.MIN_VALUE;
    }

    private long unfencedStartMillis() {
        if (actedGeneration == generation) {
            return Long.MIN_VALUE;
        }
        long predecessorSettledMillis = predecessorEndedMillis.orElse(acquiredMillis) + waitMillis;
        if (predecessorEndedMillis.isPresent() && predecessorIsSelf) {
            return predecessorSettledMillis;
        }
        // The last call of this daemon may have been executed late, and another holder may have acted since.
        return Math.max(predecessorSettledMillis, lastActMillis + 2 * waitMillis);
    }

    /**
     * Returns the newest generation that the store has reported; 0 if none. No two members hold the duties in one
     * generation.
     */
    public long generation() {
        return generation;
    }
}
