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
 * A validated set of rules.
 */
public final class Configuration {

    /**
     * A configuration without rules.
     */
    public static final Configuration EMPTY = new Configuration(new ConfigurationBuilder(), List.of());

    private final List<Rule> rules;

    private final Map<AccountId, AccountRule> accounts;

    private final Map<KeyHash, AccountId> keys;

    private final Map<PoolId, PoolRule> pools;

    private final Map<EndpointId, EndpointRule> endpoints;

    private final Map<PoolId, List<EndpointRule>> endpointsByPool;

    /**
     * The routes, sorted by path length, longest first.
     */
    private final List<RouteRule> routes;

    private final List<FailureDomain> failureDomains;

    /**
     * Copies the contents of a builder.
     *
     * @param rules the rules in file order
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
     * Validates rules as a whole.
     *
     * @throws InvalidRulesException if a rule refers to one that does not exist, or repeats a value that must be unique
     */
    public static Configuration of(List<Rule> rules) throws InvalidRulesException {
        ConfigurationBuilder builder = new ConfigurationBuilder();
        rules.forEach(builder::add);
        builder.check();
        return new Configuration(builder, rules);
    }

    /**
     * Parses and validates rules.
     *
     * @param text the rules, one per line
     * @throws InvalidRulesException if any rule is invalid
     */
    public static Configuration parse(String text) throws InvalidRulesException {
        return of(RulesParser.parse(text));
    }

    /**
     * Returns the rules in file order.
     */
    public List<Rule> rules() {
        return rules;
    }

    /**
     * Returns an account's rule, or empty if it does not exist.
     */
    public Optional<AccountRule> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /**
     * Returns the rule of the account that a key belongs to, or empty if the key is unknown.
     */
    public Optional<AccountRule> accountOf(KeyHash hash) {
        return Optional.ofNullable(keys.get(hash)).map(accounts::get);
    }

    /**
     * Returns a pool's rule, or empty if it does not exist.
     */
    public Optional<PoolRule> pool(PoolId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /**
     * Returns an endpoint's rule, or empty if it does not exist.
     */
    public Optional<EndpointRule> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints of a pool, in file order; empty if the pool does not exist.
     */
    public List<EndpointRule> endpointsOf(PoolId pool) {
        return endpointsByPool.getOrDefault(pool, List.of());
    }

    /**
     * Returns the route with the longest matching path, or empty if none matches.
     *
     * @param path the request's path, without a query
     */
    public Optional<RouteRule> route(String path) {
        return routes.stream().filter(route -> route.covers(path)).findFirst();
    }

    /**
     * Returns the accounts in file order.
     */
    public List<AccountRule> accounts() {
        return List.copyOf(accounts.values());
    }

    /**
     * Returns the pools in file order.
     */
    public List<PoolRule> pools() {
        return List.copyOf(pools.values());
    }

    /**
     * Returns the endpoints in file order.
     */
    public List<EndpointRule> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /**
     * Returns the routes, sorted by path length, longest first.
     */
    public List<RouteRule> routes() {
        return routes;
    }

    /**
     * Returns the failure domains in file order.
     */
    public List<FailureDomain> failureDomains() {
        return failureDomains;
    }
}
