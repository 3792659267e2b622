package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ragwortpitch.budget.SharedTokenBucket;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Token buckets of the accounts with a rate limit. Confined to the traffic thread.
 */
public final class AccountRateLimits {

    /** Fill of new buckets after a restart: without a burst, as earlier spending is unknown. */
    private static final double RESTART_FILL_RATIO = 0;

    private final Map<AccountId, SharedTokenBucket> buckets = new HashMap<>();
    private final Map<AccountId, Long> directPeerSpent = new HashMap<>();
    private final double initialFillRatio;
    private double share;

    /**
     * Creates rate limits without any account; {@link #apply} adds them. After a restart, nothing may be spent until
     * {@link #setShare} tells the daemon's share.
     *
     * @param firstStart whether nothing can have been spent before, so that new buckets start full
     */
    public AccountRateLimits(boolean firstStart) {
        this.initialFillRatio = firstStart ? 1 : RESTART_FILL_RATIO;
        this.share = firstStart ? 1 : 0;
    }

    /**
     * Applies the rate limits of a new configuration version; the level of existing buckets is kept.
     */
    public void apply(Deployment deployment, long nowMillis) {
        buckets.keySet()
                .removeIf(id ->
                        deployment.account(id).filter(AccountSpec::isLimited).isEmpty());
        for (AccountSpec account : deployment.accounts()) {
            if (!account.isLimited()) {
                continue;
            }
            SharedTokenBucket bucket = buckets.get(account.id());
            if (bucket == null) {
                bucket = new SharedTokenBucket(
                        account.tokensPerSecond(), account.burstTokens(), initialFillRatio, nowMillis);
                bucket.share(share, nowMillis);
                buckets.put(account.id(), bucket);
            } else {
                bucket.configure(account.tokensPerSecond(), account.burstTokens(), nowMillis);
            }
        }
    }

    /**
     * Debits an account's bucket; an account without a rate limit may always spend.
     *
     * @return time until the account may spend again, in milliseconds; 0 if the tokens were debited
     */
    long spend(AccountId account, long tokens, long nowMillis) {
        SharedTokenBucket bucket = buckets.get(account);
        if (bucket == null || bucket.trySpend(tokens, nowMillis)) {
            return 0;
        }
        return Math.max(1, bucket.recordRefusal(tokens, nowMillis));
    }

    /**
     * Refunds the tokens of a request that was not executed.
     */
    void refund(AccountId account, long tokens) {
        SharedTokenBucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.refund(tokens);
        }
    }

    /**
     * Sets the share of each rate limit that may be spent.
     *
     * @param newShare ratio of the daemons with known spending, 0 to 1
     */
    public void setShare(double newShare, long nowMillis) {
        if (newShare != share) {
            share = newShare;
            buckets.values().forEach(bucket -> bucket.share(newShare, nowMillis));
        }
    }

    /**
     * Debits what a peer has admitted.
     *
     * @param startMillis start of the peer's incarnation, in milliseconds since 1970
     * @param tokens      total that the peer has admitted in this incarnation
     */
    public void peerSpent(InstanceId peer, long startMillis, AccountId account, long tokens, long nowMillis) {
        SharedTokenBucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.debitPeer(peer, startMillis, tokens, nowMillis);
        }
    }

    /**
     * Debits what a direct peer has admitted, and adds it to the total of this failure domain.
     *
     * @param startMillis start of the peer's incarnation, in milliseconds since 1970
     * @param tokens      total that the peer has admitted in this incarnation
     */
    public void directPeerSpent(InstanceId peer, long startMillis, AccountId account, long tokens, long nowMillis) {
        SharedTokenBucket bucket = buckets.get(account);
        if (bucket != null) {
            directPeerSpent.merge(account, bucket.debitPeer(peer, startMillis, tokens, nowMillis), Long::sum);
        }
    }

    /**
     * Passes on the tokens admitted for each account by this daemon and, as far as received, its direct peers.
     */
    public void forEachSpentInDomain(BiConsumer<AccountId, Long> consumer) {
        forEachSpent((account, tokens) -> consumer.accept(account, tokens + directPeerSpent.getOrDefault(account, 0L)));
    }

    /**
     * Passes on the tokens that this daemon has admitted for each account.
     */
    public void forEachSpent(BiConsumer<AccountId, Long> consumer) {
        buckets.forEach((account, bucket) -> consumer.accept(account, bucket.spentTokens()));
    }
}
