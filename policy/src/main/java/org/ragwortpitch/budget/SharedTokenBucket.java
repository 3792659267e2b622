package org.ragwortpitch.budget;

import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.PeerTotals;

/**
 * A token bucket that all daemons spend from. Each daemon keeps a copy of the whole bucket and debits it with its own
 * spending and with the running totals that the others gossip, so that a lost message only causes delay. While some
 * daemons are unreachable, the bucket's capacity and rate are reduced to the share of the reachable ones, because
 * the others may be spending theirs. Confined to one thread.
 */
public final class SharedTokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PeerTotals peers = new PeerTotals();
    private double tokensPerSecond;
    private double burstTokens;
    private double level;
    private double queuedRetryTokens;
    private double share = 1;
    private long updatedMillis;
    private long spentTokens;

    /**
     * Creates a bucket.
     *
     * @param filled the initial level as a fraction of the burst: less than 1 where earlier spending is unknown
     */
    public SharedTokenBucket(long tokensPerSecond, long burstTokens, double filled, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.burstTokens = burstTokens;
        this.level = burstTokens * filled;
        this.updatedMillis = nowMillis;
    }

    /** Changes rate and burst; tokens beyond the new burst are lost. */
    public void configure(long newTokensPerSecond, long newBurstTokens, long nowMillis) {
        refill(nowMillis);
        tokensPerSecond = newTokensPerSecond;
        burstTokens = newBurstTokens;
        level = Math.min(level, burstTokens);
    }

    /**
     * Sets the fraction of the rate and of the burst that belongs to the reachable daemons.
     *
     * @param newShare the fraction, from 0 to 1
     */
    public void share(double newShare, long nowMillis) {
        refill(nowMillis);
        share = newShare;
        level = Math.min(level, burstTokens * share);
    }

    /**
     * Spends tokens if the level is positive. A request for more than the level makes it negative, a debt that the
     * refill pays off, so that requests larger than the burst are served too.
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

    /** Refunds tokens spent on a request that was not run. */
    public void refund(long tokens) {
        level = Math.min(burstTokens, level + tokens);
        spentTokens -= tokens;
    }

    /**
     * Debits what another daemon has spent since its previous message.
     *
     * @param startMillis the start time that identifies the peer's incarnation; messages of an earlier incarnation must
     *                    not arrive after this one's
     * @param totalTokens the total spent in that incarnation
     * @return the tokens spent since the peer's previous message
     */
    public long debitPeer(InstanceId peer, long startMillis, long totalTokens, long nowMillis) {
        refill(nowMillis);
        long addedTokens = peers.advance(peer, startMillis, totalTokens);
        level = Math.max(-burstTokens, Math.min(burstTokens, level - addedTokens));
        return addedTokens;
    }

    /**
     * Records a refused request and returns how many milliseconds its caller should wait before it retries: long enough
     * for the refill to cover the debt and every request refused earlier.
     */
    public long recordRefusal(long tokens, long nowMillis) {
        refill(nowMillis);
        double neededTokens = 1 - Math.min(0, level) + queuedRetryTokens;
        queuedRetryTokens += tokens;
        return (long) Math.ceil(neededTokens * MILLIS_PER_SECOND / Math.max(1, tokensPerSecond * share));
    }

    /** Returns the total that this daemon has spent since the bucket was created, in tokens. */
    public long spentTokens() {
        return spentTokens;
    }

    private void refill(long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - updatedMillis);
        updatedMillis = Math.max(updatedMillis, nowMillis);
        double refilled = elapsedMillis * tokensPerSecond * share / MILLIS_PER_SECOND;
        level = Math.min(burstTokens * share, level + refilled);
        queuedRetryTokens = Math.max(0, queuedRetryTokens - refilled);
    }
}
