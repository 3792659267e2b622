package org.ragwortpitch.edge.control;

/**
 * Whether this daemon holds the duties, by its membership of a group in the store. The time of a holding counts from
 * before the call was sent that was answered, by a clock that also counts a freeze. A new holder waits, so that holders
 * can't take turns within that time. Confined to the control thread.
 */
final class Holding {

    private final long ttlMillis;
    private final long waitMillis;
    private boolean holds;
    private long generation;
    private long sinceMillis;
    private long untilMillis;

    /**
     * Makes a holding of nothing.
     *
     * @param ttlMillis  how long the store keeps a silent member, in milliseconds
     * @param waitMillis how long a new holder waits before it acts, in milliseconds
     */
    Holding(long ttlMillis, long waitMillis) {
        this.ttlMillis = ttlMillis;
        this.waitMillis = waitMillis;
    }

    /**
     * Notes an answer of the store.
     *
     * @param listed     whether it lists the duties as this member's
     * @param sentMillis when the call was sent
     */
    void answered(boolean listed, long newGeneration, long sentMillis, long nowMillis) {
        boolean heldOn = holds && nowMillis < untilMillis;
        generation = newGeneration;
        holds = listed;
        untilMillis = sentMillis + ttlMillis;
        if (listed && !heldOn) {
            sinceMillis = nowMillis;
        }
    }

    /**
     * Gives the duties up.
     */
    void lost() {
        holds = false;
    }

    /**
     * Tells whether this daemon may act.
     */
    boolean mayAct(long nowMillis) {
        return holds && nowMillis < untilMillis && nowMillis - sinceMillis >= waitMillis;
    }

    /**
     * Tells the fencing token: no two members hold the duties in one generation.
     */
    long fencingToken() {
        return generation;
    }

    /**
     * Tells the last generation that the store told; 0 if none.
     */
    long generation() {
        return generation;
    }
}
