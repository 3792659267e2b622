package org.ragwortpitch.deployment;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.Region;

/**
 * One version of the deployment's configuration. Immutable.
 */
public final class Deployment {

    private final long version;
    private final RouteTable routes;
    private final Map<PoolId, Pool> pools;
    private final Map<AccountId, AccountSpec> accounts;
    private final Map<String, AccountId> keys;
    private final CallerLimits limits;

    /**
     * Creates a version.
     *
     * @param keys the account of each API key
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
     * Returns the version number; later versions have higher numbers.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a request, or empty if none matches.
     */
    public Optional<Route> route(String host, String path) {
        return routes.find(host, path);
    }

    /**
     * Returns all regions that may serve requests to a host; empty if not all of its routes have homes.
     */
    public Set<Region> homesOfHost(String host) {
        return routes.homes(host);
    }

    /**
     * Returns a pool, or empty if it is unknown.
     */
    public Optional<Pool> pool(PoolId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /**
     * Returns all pools.
     */
    public Collection<Pool> pools() {
        return pools.values();
    }

    /**
     * Returns an account, or empty if it is unknown.
     */
    public Optional<AccountSpec> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /**
     * Returns all accounts.
     */
    public Collection<AccountSpec> accounts() {
        return accounts.values();
    }

    /**
     * Returns the account that an API key belongs to, or empty if the key is unknown.
     */
    public Optional<AccountSpec> accountByApiKey(String key) {
        return Optional.ofNullable(keys.get(key)).map(accounts::get);
    }

    /**
     * Returns whether requests need an API key on routes that are not open.
     */
    public boolean requiresApiKeys() {
        return !accounts.isEmpty();
    }

    /**
     * Returns the limits of callers' connections.
     */
    public CallerLimits limits() {
        return limits;
    }
}
