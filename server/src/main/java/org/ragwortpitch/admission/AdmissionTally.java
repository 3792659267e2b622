package org.ragwortpitch.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.ragwortpitch.identity.AccountId;

/**
 * Counts the admitted and the refused requests of each client account on this daemon. Safe for use by many threads.
 */
public final class AdmissionTally {

    /**
     * The admitted requests.
     */
    private final Map<AccountId, LongAdder> admitted = new ConcurrentHashMap<>();

    /**
     * The requests refused for the rate.
     */
    private final Map<AccountId, LongAdder> overRate = new ConcurrentHashMap<>();

    /**
     * Counts an admitted request.
     *
     * @param account the client account
     */
    void admitted(AccountId account) {
        admitted.computeIfAbsent(account, id -> new LongAdder()).increment();
    }

    /**
     * Counts a request refused for the rate.
     *
     * @param account the client account
     */
    void overRate(AccountId account) {
        overRate.computeIfAbsent(account, id -> new LongAdder()).increment();
    }

    /**
     * Tells the admitted requests.
     *
     * @param account the client account
     * @return the count
     */
    public long admittedOf(AccountId account) {
        LongAdder count = admitted.get(account);
        return count == null ? 0 : count.sum();
    }

    /**
     * Tells the requests refused for the rate.
     *
     * @param account the client account
     * @return the count
     */
    public long overRateOf(AccountId account) {
        LongAdder count = overRate.get(account);
        return count == null ? 0 : count.sum();
    }
}
