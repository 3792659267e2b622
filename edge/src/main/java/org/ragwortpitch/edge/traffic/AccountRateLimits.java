package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.ragwortpitch.admission.ServedTokens;
import org.ragwortpitch.budget.SharedTokenBucket;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Token buckets of the accounts with a rate limit and, if there are accounts without one, the tokens that each account
 * was served lately. Confined to the traffic thread.
 */
public final class AccountRateLimits {

    /** Stands for the callers of open routes that send no API key. */
    static final AccountId WITHOUT_KEY = new AccountId("");

    /** Fill of new buckets after a restart: without a burst, as earlier spending is unknown. */
    private static final double RESTART_FILL_RATIO = 0;

    private final Map<AccountId, SharedTokenBucket> buckets = new HashMap<>();
    private final Map<AccountId, Long> directPeerSpent = new HashMap<>();
    private final ServedTokens served = new ServedTokens();
    private final double initialFillRatio;
    private double share;
    private boolean hasUnlimited;

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
        hasUnlimited = deployment.accounts().stream().anyMatch(account -> !account.isLimited());
        Set<AccountId> known = new HashSet<>();
        if (hasUnlimited) {
            deployment.accounts().forEach(account -> known.add(account.id()));
            known.add(WITHOUT_KEY);
        }
        served.retain(known);
    }

    /**
     * Returns whether the configuration has accounts without a rate limit.
     */
    boolean hasUnlimited() {
        return hasUnlimited;
    }

    /**
     * Records the tokens of a request that this daemon sends to an engine.
     */
    void recordServed(AccountId account, long tokens, long nowMillis) {
        served.record(account, tokens, nowMillis);
    }

    /**
     * Returns the tokens that an account was served lately over the whole fleet, as far as known.
     */
    double servedTokens(AccountId account, long nowMillis) {
        return served.recent(account, nowMillis);
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
     * Debits what a peer has admitted, and counts it as served.
     *
     * @param startMillis start of the peer's incarnation, in milliseconds since 1970
     * @param tokens      total that the peer has admitted in this incarnation
     */
    public void peerSpent(InstanceId peer, long startMillis, AccountId account, long tokens, long nowMillis) {
        SharedTokenBucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.debitPeer(peer, startMillis, tokens, nowMillis);
        }
        recordServedByPeer(peer, startMillis, account, tokens, nowMillis);
    }

    /**
     * Debits what a direct peer has admitted, counts it as served, and adds it to the total of this failure domain.
     *
     * @param startMillis start of the peer's incarnation, in milliseconds since 1970
     * @param tokens      total that the peer has admitted in this incarnation
     */
    public void directPeerSpent(InstanceId peer, long startMillis, AccountId account, long tokens, long nowMillis) {
        SharedTokenBucket bucket = buckets.get(account);
        long servedTokens = recordServedByPeer(peer, startMillis, account, tokens, nowMillis);
        long added = bucket == null ? servedTokens : bucket.debitPeer(peer, startMillis, tokens, nowMillis);
        if (bucket != null || hasUnlimited) {
            directPeerSpent.merge(account, added, Long::sum);
        }
    }

    private long recordServedByPeer(InstanceId peer, long startMillis, AccountId account, long tokens, long nowMillis) {
        return hasUnlimited ? served.recordPeer(peer, startMillis, account, tokens, nowMillis) : 0;
    }

    /**
     * Passes on the tokens admitted for each account by this daemon and, as far as received, its direct peers.
     */
    public void forEachSpentInDomain(BiConsumer<AccountId, Long> consumer) {
        Map<AccountId, Long> totals = new HashMap<>(directPeerSpent);
        forEachSpent((account, tokens) -> totals.merge(account, tokens, Long::sum));
        totals.forEach((account, tokens) -> {
            if (hasUnlimited || buckets.containsKey(account)) {
                consumer.accept(account, tokens);
            }
        });
    }

    /**
     * Passes on the tokens that this daemon has admitted for each account: those debited from its bucket or, for an
     * account without a rate limit, those of the requests that it sent to engines.
     */
    public void forEachSpent(BiConsumer<AccountId, Long> consumer) {
        buckets.forEach((account, bucket) -> consumer.accept(account, bucket.spentTokens()));
        served.forEachOwn((account, tokens) -> {
            if (!buckets.containsKey(account)) {
                consumer.accept(account, tokens);
            }
        });
    }
}
