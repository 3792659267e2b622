package org.ragwortpitch.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.ragwortpitch.identity.AccountId;

/**
 * Counts the requests of each client account that this daemon admitted, and those that it refused for their rate.
 * Thread-safe.
 */
public final class AdmissionCounters {

    private final Map<AccountId, LongAdder> admitted = new ConcurrentHashMap<>();

    private final Map<AccountId, LongAdder> overRate = new ConcurrentHashMap<>();

    void admitted(AccountId account) {
        admitted.computeIfAbsent(account, id -> new LongAdder()).increment();
    }

    void overRate(AccountId account) {
        overRate.computeIfAbsent(account, id -> new LongAdder()).increment();
    }

    /**
     * Returns the number of requests that this daemon admitted since it started.
     */
    public long admittedCount(AccountId account) {
        LongAdder count = admitted.get(account);
        return count == null ? 0 : count.sum();
    }

    /**
     * Returns the number of requests that this daemon refused for their rate since it started.
     */
    public long overRateCount(AccountId account) {
        LongAdder count = overRate.get(account);
        return count == null ? 0 : count.sum();
    }
}
