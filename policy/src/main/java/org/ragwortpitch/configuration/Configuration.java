package org.ragwortpitch.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.identity.PoolId;

/**
 * Rules that were read and checked as a whole.
 */
public final class Configuration {

    /**
     * A configuration without rules.
     */
    public static final Configuration EMPTY = new Configuration(new ConfigurationBuilder(), List.of());

    /**
     * The rules in the order of their lines.
     */
    private final List<Rule> rules;

    /**
     * The client accounts.
     */
    private final Map<AccountId, AccountRule> accounts;

    /**
     * The client account of each key.
     */
    private final Map<KeyHash, AccountId> keys;

    /**
     * The pools.
     */
    private final Map<PoolId, PoolRule> pools;

    /**
     * The endpoints.
     */
    private final Map<EndpointId, EndpointRule> endpoints;

    /**
     * The endpoints of each pool.
     */
    private final Map<PoolId, List<EndpointRule>> endpointsByPool;

    /**
     * The routes, those with the longest path first.
     */
    private final List<RouteRule> routes;

    /**
     * The failure domains.
     */
    private final List<FailureDomain> failureDomains;

    /**
     * Freezes what a builder gathered.
     *
     * @param builder the builder
     * @param rules   the rules in the order of their lines
     */
    Configuration(ConfigurationBuilder builder, List<Rule> rules) {
        this.rules = List.copyOf(rules);
        this.accounts = new LinkedHashMap<>(builder.accounts());
        this.keys = Map.copyOf(builder.keys());
        this.pools = new LinkedHashMap<>(builder.pools());
        this.endpoints = new LinkedHashMap<>(builder.endpoints());
        this.endpointsByPool = new HashMap<>();
        endpoints.values().forEach(endpoint -> endpointsByPool
                .computeIfAbsent(endpoint.pool(), pool -> new ArrayList<>())
                .add(endpoint));
        this.routes = builder.routes().stream()
                .sorted((left, right) ->
                        Integer.compare(right.path().length(), left.path().length()))
                .toList();
        this.failureDomains = List.copyOf(builder.failureDomains());
    }

    /**
     * Checks rules as a whole.
     *
     * @param rules the rules
     * @return the configuration
     * @throws InvalidRulesException if a rule names another one that is not there, or repeats what must be unique
     */
    public static Configuration of(List<Rule> rules) throws InvalidRulesException {
        ConfigurationBuilder builder = new ConfigurationBuilder();
        rules.forEach(builder::add);
        builder.check();
        return new Configuration(builder, rules);
    }

    /**
     * Reads and checks rules.
     *
     * @param text the rules, one a line
     * @return the configuration
     * @throws InvalidRulesException if they cannot be taken
     */
    public static Configuration parse(String text) throws InvalidRulesException {
        return of(RulesParser.parse(text));
    }

    /**
     * Tells the rules.
     *
     * @return the rules in the order of their lines
     */
    public List<Rule> rules() {
        return rules;
    }

    /**
     * Finds a client account.
     *
     * @param id the account
     * @return its rule, if there is one
     */
    public Optional<AccountRule> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /**
     * Finds the client account of a key.
     *
     * @param hash the key's hash
     * @return the account, if the key is valid
     */
    public Optional<AccountRule> accountOf(KeyHash hash) {
        return Optional.ofNullable(keys.get(hash)).map(accounts::get);
    }

    /**
     * Finds a pool.
     *
     * @param id the pool
     * @return its rule, if there is one
     */
    public Optional<PoolRule> pool(PoolId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /**
     * Finds an endpoint.
     *
     * @param id the endpoint
     * @return its rule, if there is one
     */
    public Optional<EndpointRule> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Tells a pool's endpoints.
     *
     * @param pool the pool
     * @return the endpoints
     */
    public List<EndpointRule> endpointsOf(PoolId pool) {
        return endpointsByPool.getOrDefault(pool, List.of());
    }

    /**
     * Finds the route of a path, the longest one that covers it.
     *
     * @param path the path, without a query
     * @return the route, if there is one
     */
    public Optional<RouteRule> route(String path) {
        return routes.stream().filter(route -> route.covers(path)).findFirst();
    }

    /**
     * Tells the client accounts.
     *
     * @return the accounts in the order of their lines
     */
    public List<AccountRule> accounts() {
        return List.copyOf(accounts.values());
    }

    /**
     * Tells the pools.
     *
     * @return the pools in the order of their lines
     */
    public List<PoolRule> pools() {
        return List.copyOf(pools.values());
    }

    /**
     * Tells the endpoints.
     *
     * @return the endpoints in the order of their lines
     */
    public List<EndpointRule> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /**
     * Tells the routes.
     *
     * @return the routes, those with the longest path first
     */
    public List<RouteRule> routes() {
        return routes;
    }

    /**
     * Tells the failure domains.
     *
     * @return the failure domains in the order of their lines
     */
    public List<FailureDomain> failureDomains() {
        return failureDomains;
    }
}
