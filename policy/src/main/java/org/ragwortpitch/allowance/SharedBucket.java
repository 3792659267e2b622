package org.ragwortpitch.allowance;

import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.PeerTotals;

/**
 * A token bucket that all daemons spend from. Each keeps the whole bucket, debits what it lets through itself, and what
 * the others tell of theirs as totals, so that a lost message costs only time. While some daemons are not heard of, it
 * holds and refills only the part of those that are: the silent ones may be spending theirs. Confined to one thread.
 */
public final class SharedBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PeerTotals peers = new PeerTotals();
    private double tokensPerSecond;
    private double burstTokens;
    private double level;
    private double promisedTokens;
    private double share = 1;
    private long updatedMillis;
    private long spentTokens;

    /**
     * Makes a bucket.
     *
     * @param filled what it holds at first, as a part of the burst: less than 1 where earlier spending isn't known
     */
    public SharedBucket(long tokensPerSecond, long burstTokens, double filled, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.burstTokens = burstTokens;
        this.level = burstTokens * filled;
        this.updatedMillis = nowMillis;
    }

    /**
     * Changes the rate; what is there beyond the new burst is gone.
     */
    public void configure(long newTokensPerSecond, long newBurstTokens, long nowMillis) {
        refill(nowMillis);
        tokensPerSecond = newTokensPerSecond;
        burstTokens = newBurstTokens;
        level = Math.min(level, burstTokens);
    }

    /**
     * Sets the part of the rate and of the burst that daemons use which are heard of.
     */
    public void share(double newShare, long nowMillis) {
        refill(nowMillis);
        share = newShare;
        level = Math.min(level, burstTokens * share);
    }

    /**
     * Spends tokens if any are there; a request larger than what is there makes a debt that the rate pays off, so that
     * requests larger than the burst are served too.
     */
    public boolean trySpend(long tokens, long nowMillis) {
        refill(nowMillis);
        if (level <= 0) {
            return false;
        }
        level -= tokens;
        spentTokens += tokens;
        return true;
    }

    /**
     * Gives tokens back that were spent on a request which has not run.
     */
    public void giveBack(long tokens) {
        level = Math.min(burstTokens, level + tokens);
        spentTokens -= tokens;
    }

    /**
     * Debits what another daemon has let through since the last time.
     *
     * @param bornMillis  which life of the daemon tells it; words of a former one mustn't come any more
     * @param totalTokens what it has let through in that life
     * @return what it has let through since its last word
     */
    public long peerSpent(InstanceId peer, long bornMillis, long totalTokens, long nowMillis) {
        refill(nowMillis);
        long addedTokens = peers.advance(peer, bornMillis, totalTokens);
        level = Math.max(-burstTokens, Math.min(burstTokens, level - addedTokens));
        return addedTokens;
    }

    /**
     * Notes a request that was refused, and tells when it may be let through, in milliseconds: after all that were
     * refused before it have had their turn.
     */
    public long refused(long tokens, long nowMillis) {
        refill(nowMillis);
        double turnTokens = 1 - Math.min(0, level) + promisedTokens;
        promisedTokens += tokens;
        return (long) Math.ceil(turnTokens * MILLIS_PER_SECOND / Math.max(1, tokensPerSecond * share));
    }

    /**
     * Tells what this daemon has let through.
     */
    public long spentTokens() {
        return spentTokens;
    }

    private void refill(long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - updatedMillis);
        updatedMillis = Math.max(updatedMillis, nowMillis);
        double refilled = elapsedMillis * tokensPerSecond * share / MILLIS_PER_SECOND;
        level = Math.min(burstTokens * share, level + refilled);
        promisedTokens = Math.max(0, promisedTokens - refilled);
    }
}
