package org.ragwortpitch.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RouteId;

/**
 * Gathers typed rules and checks what they say of each other.
 */
final class ConfigurationBuilder {

    /**
     * The client accounts.
     */
    private final Map<AccountId, AccountRule> accounts = new LinkedHashMap<>();

    /**
     * The client account of each key.
     */
    private final Map<KeyHash, AccountId> keys = new HashMap<>();

    /**
     * The pools.
     */
    private final Map<PoolId, PoolRule> pools = new LinkedHashMap<>();

    /**
     * The endpoints.
     */
    private final Map<EndpointId, EndpointRule> endpoints = new LinkedHashMap<>();

    /**
     * The routes by path.
     */
    private final Map<String, RouteRule> routes = new LinkedHashMap<>();

    /**
     * The failure domains.
     */
    private final Set<FailureDomain> failureDomains = new LinkedHashSet<>();

    /**
     * The rules that name other rules, checked at the end.
     */
    private final List<Rule> referring = new ArrayList<>();

    /**
     * The errors found so far.
     */
    private final List<RuleError> errors = new ArrayList<>();

    /**
     * Adds a rule.
     *
     * @param rule the rule
     */
    void add(Rule rule) {
        switch (rule.kind()) {
            case FAILURE_DOMAIN -> failureDomains.add(new FailureDomain(rule.id()));
            case ACCOUNT -> addAccount(rule);
            case KEY -> addKey(rule);
            case POOL -> addPool(rule);
            case ENDPOINT -> addEndpoint(rule);
            case ROUTE -> addRoute(rule);
            default -> throw new IllegalStateException("unknown kind " + rule.kind());
        }
    }

    /**
     * Checks that every rule named by another one is there.
     *
     * @throws InvalidRulesException if there is any error
     */
    void check() throws InvalidRulesException {
        for (Rule rule : referring) {
            requireNamed(rule, "account", name -> accounts.containsKey(new AccountId(name)));
            requireNamed(rule, "pool", name -> pools.containsKey(new PoolId(name)));
            requireNamed(rule, "service", name -> isPool(name, PoolKind.SERVICE));
            requireNamed(rule, "failure-domain", name -> failureDomains.contains(new FailureDomain(name)));
        }
        if (!errors.isEmpty()) {
            throw new InvalidRulesException(errors);
        }
    }

    /**
     * Adds a client account.
     *
     * @param rule the rule
     */
    private void addAccount(Rule rule) {
        AccountId id = new AccountId(rule.id());
        RateLimit tokens = new RateLimit(rule.getLong("tokens-per-second"), rule.getLong("burst-tokens"));
        RateLimit requests = new RateLimit(rule.getLong("requests-per-second"), rule.getLong("burst-requests"));
        accounts.put(id, new AccountRule(id, rule.getLong("weight"), tokens, requests));
    }

    /**
     * Adds a key.
     *
     * @param rule the rule
     */
    private void addKey(Rule rule) {
        referring.add(rule);
        KeyHash hash = new KeyHash(rule.get("sha256"));
        if (keys.putIfAbsent(hash, new AccountId(rule.get("account"))) != null) {
            fail(rule, RuleProblem.DUPLICATE, "another key rule has the same hash: create a new key");
        }
    }

    /**
     * Adds a pool.
     *
     * @param rule the rule
     */
    private void addPool(Rule rule) {
        PoolId id = new PoolId(rule.id());
        PoolKind kind = rule.getEnum("serves", PoolKind.class);
        pools.put(id, new PoolRule(id, kind, (int) rule.getLong("concurrency")));
    }

    /**
     * Adds an endpoint.
     *
     * @param rule the rule
     */
    private void addEndpoint(Rule rule) {
        referring.add(rule);
        EndpointId id = new EndpointId(rule.id());
        EndpointRule endpoint = new EndpointRule(
                id,
                new PoolId(rule.get("pool")),
                new FailureDomain(rule.get("failure-domain")),
                rule.get("address"),
                rule.getEnum("role", EndpointRole.class),
                rule.get("fencing").equals("checked"),
                rule.getEnum("supply", Supply.class),
                rule.getLong("cost-micros-per-hour"));
        endpoints.put(id, endpoint);
    }

    /**
     * Adds a route.
     *
     * @param rule the rule
     */
    private void addRoute(Rule rule) {
        referring.add(rule);
        Optional<PoolId> service =
                Optional.of(rule.get("service")).filter(name -> !name.isEmpty()).map(PoolId::new);
        RouteRule route = new RouteRule(
                new RouteId(rule.id()),
                rule.get("path"),
                rule.getEnum("access", Access.class),
                rule.getEnum("repeat", Repetition.class),
                rule.get("class"),
                (int) rule.getLong("priority"),
                service,
                rule.getLong("deadline-millis"));
        if (routes.putIfAbsent(route.path(), route) != null) {
            fail(rule, RuleProblem.DUPLICATE, "another route has the path " + route.path() + ": change one of them");
        }
        boolean once = route.repetition() == Repetition.AT_MOST_ONCE;
        if (once && (service.isEmpty() || route.access() == Access.OPEN)) {
            fail(rule, RuleProblem.BAD_VALUE, "a route with repeat=at-most-once needs service=... and access=keyed");
        }
    }

    /**
     * Checks that a rule's attribute, if it has one, names something that is there.
     *
     * @param rule      the rule
     * @param attribute the attribute
     * @param exists    tells whether a name is there
     */
    private void requireNamed(Rule rule, String attribute, java.util.function.Predicate<String> exists) {
        String name = rule.attributes().get(attribute);
        if (name != null && !exists.test(name)) {
            fail(
                    rule,
                    RuleProblem.DANGLING,
                    attribute + "=" + name + " is named by no rule that fits: add it or " + "correct the name");
        }
    }

    /**
     * Tells whether a pool of a kind is there.
     *
     * @param name the pool's name
     * @param kind the kind
     * @return whether it is
     */
    private boolean isPool(String name, PoolKind kind) {
        PoolRule pool = pools.get(new PoolId(name));
        return pool != null && pool.kind() == kind;
    }

    /**
     * Notes an error.
     *
     * @param rule    the rule
     * @param problem the kind of error
     * @param message what is wrong, and the remedy
     */
    private void fail(Rule rule, RuleProblem problem, String message) {
        errors.add(new RuleError(rule.line(), 1, problem, rule.key() + ": " + message));
    }

    /**
     * Tells the client accounts.
     *
     * @return the accounts
     */
    Map<AccountId, AccountRule> accounts() {
        return accounts;
    }

    /**
     * Tells the keys.
     *
     * @return the account of each key
     */
    Map<KeyHash, AccountId> keys() {
        return keys;
    }

    /**
     * Tells the pools.
     *
     * @return the pools
     */
    Map<PoolId, PoolRule> pools() {
        return pools;
    }

    /**
     * Tells the endpoints.
     *
     * @return the endpoints
     */
    Map<EndpointId, EndpointRule> endpoints() {
        return endpoints;
    }

    /**
     * Tells the routes.
     *
     * @return the routes
     */
    Collection<RouteRule> routes() {
        return routes.values();
    }

    /**
     * Tells the failure domains.
     *
     * @return the failure domains
     */
    Set<FailureDomain> failureDomains() {
        return failureDomains;
    }
}
