package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ragwortpitch.allowance.SharedBucket;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * The buckets of the accounts that are held to a rate. Confined to the traffic thread.
 */
public final class Accounts {

    /** A daemon that starts anew doesn't know what was spent just before, so its buckets start without a burst. */
    private static final double FILLED_AT_RESTART = 0;

    private final Map<AccountId, SharedBucket> buckets = new HashMap<>();
    private final Map<AccountId, Long> nearSpent = new HashMap<>();
    private final double filled;
    private double share = 1;

    /**
     * Makes empty accounts.
     *
     * @param firstStart whether nothing can have been spent before
     */
    public Accounts(boolean firstStart) {
        this.filled = firstStart ? 1 : FILLED_AT_RESTART;
    }

    /**
     * Takes rates over from a new version.
     */
    public void apply(Deployment deployment, long nowMillis) {
        buckets.keySet()
                .removeIf(id ->
                        deployment.account(id).filter(AccountSpec::isLimited).isEmpty());
        for (AccountSpec account : deployment.accounts()) {
            if (!account.isLimited()) {
                continue;
            }
            SharedBucket bucket = buckets.get(account.id());
            if (bucket == null) {
                bucket = new SharedBucket(account.tokensPerSecond(), account.burstTokens(), filled, nowMillis);
                bucket.share(share, nowMillis);
                buckets.put(account.id(), bucket);
            } else {
                bucket.configure(account.tokensPerSecond(), account.burstTokens(), nowMillis);
            }
        }
    }

    /**
     * Spends an account's tokens.
     *
     * @return how long until the account may spend again, in milliseconds; 0 if it was let spend now
     */
    long spend(AccountId account, long tokens, long nowMillis) {
        SharedBucket bucket = buckets.get(account);
        if (bucket == null || bucket.trySpend(tokens, nowMillis)) {
            return 0;
        }
        return Math.max(1, bucket.refused(tokens, nowMillis));
    }

    /**
     * Gives back what was spent on a request that has not run.
     */
    void giveBack(AccountId account, long tokens) {
        SharedBucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.giveBack(tokens);
        }
    }

    /**
     * Sets the part of the daemons that are heard of.
     */
    public void share(double heardShare, long nowMillis) {
        if (heardShare != share) {
            share = heardShare;
            buckets.values().forEach(bucket -> bucket.share(heardShare, nowMillis));
        }
    }

    /**
     * Takes over what another daemon has let through.
     */
    public void peerSpent(InstanceId peer, long bornMillis, AccountId account, long tokens, long nowMillis) {
        SharedBucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.peerSpent(peer, bornMillis, tokens, nowMillis);
        }
    }

    /**
     * Takes over what a daemon of the same failure domain has let through.
     */
    public void nearSpent(InstanceId peer, long bornMillis, AccountId account, long tokens, long nowMillis) {
        SharedBucket bucket = buckets.get(account);
        if (bucket != null) {
            nearSpent.merge(account, bucket.peerSpent(peer, bornMillis, tokens, nowMillis), Long::sum);
        }
    }

    /**
     * Tells what the daemons of this failure domain have let through, as far as this daemon has heard.
     */
    public void eachSpentInDomain(BiConsumer<AccountId, Long> consumer) {
        eachSpent((account, tokens) -> consumer.accept(account, tokens + nearSpent.getOrDefault(account, 0L)));
    }

    /**
     * Tells what this daemon has let through.
     */
    public void eachSpent(BiConsumer<AccountId, Long> consumer) {
        buckets.forEach((account, bucket) -> consumer.accept(account, bucket.spentTokens()));
    }
}
