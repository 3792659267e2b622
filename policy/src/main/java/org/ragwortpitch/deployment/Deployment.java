package org.ragwortpitch.deployment;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.PoolId;

/**
 * One version of what operators ask for. Immutable.
 */
public final class Deployment {

    private final long version;
    private final RouteTable routes;
    private final Map<PoolId, Pool> pools;
    private final Map<AccountId, AccountSpec> accounts;
    private final Map<String, AccountId> keys;
    private final CallerLimits limits;

    /**
     * Makes a version.
     *
     * @param keys the account of each key
     */
    public Deployment(
            long version,
            List<Route> routes,
            List<Pool> pools,
            List<AccountSpec> accounts,
            Map<String, AccountId> keys,
            CallerLimits limits) {
        this.version = version;
        this.routes = new RouteTable(routes);
        this.pools = new HashMap<>();
        pools.forEach(pool -> this.pools.put(pool.id(), pool));
        this.accounts = new HashMap<>();
        accounts.forEach(account -> this.accounts.put(account.id(), account));
        this.keys = Map.copyOf(keys);
        this.limits = limits;
    }

    /**
     * Tells the version; versions only rise.
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route of a request.
     */
    public Optional<Route> route(String host, String path) {
        return routes.find(host, path);
    }

    /**
     * Finds a pool.
     */
    public Optional<Pool> pool(PoolId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /**
     * Tells all pools.
     */
    public Collection<Pool> pools() {
        return pools.values();
    }

    /**
     * Finds an account.
     */
    public Optional<AccountSpec> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /**
     * Tells all accounts.
     */
    public Collection<AccountSpec> accounts() {
        return accounts.values();
    }

    /**
     * Finds the account that holds a key.
     */
    public Optional<AccountSpec> accountOfKey(String key) {
        return Optional.ofNullable(keys.get(key)).map(accounts::get);
    }

    /**
     * Tells whether callers need keys.
     */
    public boolean asksForKeys() {
        return !accounts.isEmpty();
    }

    /**
     * Tells what callers may send.
     */
    public CallerLimits limits() {
        return limits;
    }
}
