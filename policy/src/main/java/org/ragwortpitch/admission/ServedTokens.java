package org.ragwortpitch.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.PeerTotals;

/**
 * The tokens that each account was served lately by this daemon and, by their gossip, by all others. Older tokens lose
 * weight exponentially. Confined to one thread.
 */
public final class ServedTokens {

    /**
     * Time after which served tokens have lost about two thirds of their weight, in milliseconds: several times as long
     * as a usual generation runs, and longer than daemons are cut off from each other without notice.
     */
    private static final double DECAY_MILLIS = 10_000;

    private final Map<AccountId, Account> accounts = new HashMap<>();

    /**
     * Records tokens that this daemon serves.
     */
    public void record(AccountId account, long tokens, long nowMillis) {
        Account entry = account(account);
        entry.ownTokens += tokens;
        entry.add(tokens, nowMillis);
    }

    /**
     * Records a total that another daemon gossips. The first one of an incarnation does not tell when its tokens were
     * served, so that it counts as long ago. What was served since the previous one counts as served evenly in between,
     * so that the figures of a daemon which was cut off do not count as those of one moment.
     *
     * @param incarnation of the daemon; gossip of an earlier one must not arrive after that of a later one
     * @param totalTokens what it has served in this incarnation
     * @return the tokens served since its previous gossip
     */
    public long recordPeer(InstanceId peer, long incarnation, AccountId account, long totalTokens, long nowMillis) {
        Account entry = account(account);
        long tokens = entry.peers.advance(peer, incarnation, totalTokens);
        Long beforeMillis = entry.heardMillis.put(peer, nowMillis);
        double agedBy = beforeMillis == null ? 0 : Math.max(0, nowMillis - beforeMillis) / DECAY_MILLIS;
        entry.add(agedBy == 0 ? tokens : tokens * -Math.expm1(-agedBy) / agedBy, nowMillis);
        return tokens;
    }

    /**
     * Returns the tokens that an account was served lately over the whole fleet, as far as known.
     */
    public double recent(AccountId account, long nowMillis) {
        Account entry = accounts.get(account);
        return entry == null ? 0 : entry.recent(nowMillis);
    }

    /**
     * Passes on the tokens that this daemon has served to each account since its start.
     */
    public void forEachOwn(BiConsumer<AccountId, Long> consumer) {
        accounts.forEach((account, entry) -> {
            if (entry.ownTokens > 0) {
                consumer.accept(account, entry.ownTokens);
            }
        });
    }

    /**
     * Forgets all other accounts.
     */
    public void retain(Set<AccountId> known) {
        accounts.keySet().retainAll(known);
    }

    private Account account(AccountId account) {
        return accounts.computeIfAbsent(account, id -> new Account());
    }

    private static final class Account {

        private final PeerTotals peers = new PeerTotals();
        private final Map<InstanceId, Long> heardMillis = new HashMap<>();
        private long ownTokens;
        private double recentTokens;
        private long updatedMillis;

        void add(double tokens, long nowMillis) {
            recentTokens = Math.max(0, recent(nowMillis) + tokens);
            updatedMillis = nowMillis;
        }

        double recent(long nowMillis) {
            return recentTokens * Math.exp(-Math.max(0, nowMillis - updatedMillis) / DECAY_MILLIS);
        }
    }
}
