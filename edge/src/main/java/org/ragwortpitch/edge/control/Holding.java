package org.ragwortpitch.edge.control;

/**
 * Whether this daemon holds the duties, by its membership of a group in the store. The time of a holding counts from
 * before the call was sent that was answered, by a clock that also counts a freeze. A daemon whose holding was
 * interrupted acts again only after a wait, so that two holders can't take turns within that time; where nobody checks
 * fencing tokens, each new holder waits. Confined to the control thread.
 */
final class Holding {

    private final long ttlMillis;
    private final long waitMillis;
    private final boolean fenced;
    private boolean holds;
    private boolean interrupted = true;
    private long generation;
    private long sinceMillis;
    private long untilMillis;
    private long lastActMillis;

    /**
     * Makes a holding of nothing.
     *
     * @param ttlMillis  how long the store keeps a silent member, in milliseconds
     * @param waitMillis within which holders mustn't take turns, in milliseconds
     * @param fenced     whether fencing tokens are checked
     * @param nowMillis  the present time; an earlier life of this daemon may have acted until now
     */
    Holding(long ttlMillis, long waitMillis, boolean fenced, long nowMillis) {
        this.ttlMillis = ttlMillis;
        this.waitMillis = waitMillis;
        this.fenced = fenced;
        this.lastActMillis = nowMillis;
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
        if (!listed || !heldOn) {
            interrupted = true;
        }
    }

    /**
     * Gives the duties up.
     */
    void lost() {
        holds = false;
        interrupted = true;
    }

    /**
     * Tells whether this daemon may act now.
     */
    boolean mayAct(long nowMillis) {
        if (!holds || nowMillis >= untilMillis) {
            return false;
        }
        long from = fenced ? lastActMillis : Math.max(lastActMillis, sinceMillis);
        if (interrupted && nowMillis - from < waitMillis) {
            return false;
        }
        interrupted = false;
        lastActMillis = nowMillis;
        return true;
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
