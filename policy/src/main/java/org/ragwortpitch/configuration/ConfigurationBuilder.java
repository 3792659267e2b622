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
 * Collects typed rules and checks the references between them.
 */
final class ConfigurationBuilder {

    private final Map<AccountId, AccountRule> accounts = new LinkedHashMap<>();

    private final Map<KeyHash, AccountId> keys = new HashMap<>();

    private final Map<PoolId, PoolRule> pools = new LinkedHashMap<>();

    private final Map<EndpointId, EndpointRule> endpoints = new LinkedHashMap<>();

    /**
     * The routes by path.
     */
    private final Map<String, RouteRule> routes = new LinkedHashMap<>();

    private final Set<FailureDomain> failureDomains = new LinkedHashSet<>();

    /**
     * The rules that refer to other rules; resolved after all rules were added.
     */
    private final List<Rule> referencingRules = new ArrayList<>();

    private final List<RuleError> errors = new ArrayList<>();

    /**
     * Adds a rule. Errors are collected until {@link #check()}.
     */
    void add(Rule rule) {
        switch (rule.kind()) {
            case FAILURE_DOMAIN -> failureDomains.add(new FailureDomain(rule.id()));
            case ACCOUNT -> addAccount(rule);
            case KEY -> addKey(rule);
            case POOL -> addPool(rule);
            case ENDPOINT -> addEndpoint(rule);
            case ROUTE -> addRoute(rule);
            default -> throw new IllegalStateException("unknown rule kind " + rule.kind());
        }
    }

    /**
     * Checks that every rule referred to exists.
     *
     * @throws InvalidRulesException if this or an earlier step found any error
     */
    void check() throws InvalidRulesException {
        for (Rule rule : referencingRules) {
            requireReferencedRule(rule, "account", name -> accounts.containsKey(new AccountId(name)));
            requireReferencedRule(rule, "pool", name -> pools.containsKey(new PoolId(name)));
            requireReferencedRule(rule, "service", name -> isPool(name, PoolKind.SERVICE));
            requireReferencedRule(rule, "failure-domain", name -> failureDomains.contains(new FailureDomain(name)));
        }
        if (!errors.isEmpty()) {
            throw new InvalidRulesException(errors);
        }
    }

    private void addAccount(Rule rule) {
        AccountId id = new AccountId(rule.id());
        RateLimit tokens = new RateLimit(rule.getLong("tokens-per-second"), rule.getLong("burst-tokens"));
        RateLimit requests = new RateLimit(rule.getLong("requests-per-second"), rule.getLong("burst-requests"));
        accounts.put(id, new AccountRule(id, rule.getLong("weight"), tokens, requests));
    }

    private void addKey(Rule rule) {
        referencingRules.add(rule);
        KeyHash hash = new KeyHash(rule.get("sha256"));
        if (keys.putIfAbsent(hash, new AccountId(rule.get("account"))) != null) {
            addError(rule, RuleProblem.DUPLICATE, "another key rule has the same hash: create a new key");
        }
    }

    private void addPool(Rule rule) {
        PoolId id = new PoolId(rule.id());
        PoolKind kind = rule.getEnum("serves", PoolKind.class);
        pools.put(id, new PoolRule(id, kind, (int) rule.getLong("concurrency")));
    }

    private void addEndpoint(Rule rule) {
        referencingRules.add(rule);
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

    private void addRoute(Rule rule) {
        referencingRules.add(rule);
        Optional<PoolId> service =
                Optional.of(rule.get("service")).filter(name -> !name.isEmpty()).map(PoolId::new);
        RouteRule route = new RouteRule(
                new RouteId(rule.id()),
                rule.get("path"),
                rule.getEnum("access", Access.class),
                rule.getEnum("repeat", Repeatability.class),
                rule.get("class"),
                (int) rule.getLong("priority"),
                service,
                rule.getLong("deadline-millis"));
        if (routes.putIfAbsent(route.path(), route) != null) {
            addError(
                    rule,
                    RuleProblem.DUPLICATE,
                    "another route has the same path " + route.path() + ": change one of them");
        }
        boolean atMostOnce = route.repetition() == Repeatability.AT_MOST_ONCE;
        if (atMostOnce && (service.isEmpty() || route.access() == Access.OPEN)) {
            addError(
                    rule,
                    RuleProblem.BAD_VALUE,
                    "a route with repeat=at-most-once requires service=... and access=keyed");
        }
    }

    /**
     * Checks that the rule that an attribute refers to exists; does nothing if the rule does not give the attribute.
     *
     * @param exists whether a rule of the required kind has the given id
     */
    private void requireReferencedRule(Rule rule, String attribute, java.util.function.Predicate<String> exists) {
        String name = rule.attributes().get(attribute);
        if (name != null && !exists.test(name)) {
            addError(
                    rule,
                    RuleProblem.DANGLING,
                    attribute + "=" + name + " refers to no rule of the required kind: add the rule or "
                            + "correct the id");
        }
    }

    private boolean isPool(String name, PoolKind kind) {
        PoolRule pool = pools.get(new PoolId(name));
        return pool != null && pool.kind() == kind;
    }

    private void addError(Rule rule, RuleProblem problem, String message) {
        errors.add(new RuleError(rule.line(), 1, problem, rule.key() + ": " + message));
    }

    Map<AccountId, AccountRule> accounts() {
        return accounts;
    }

    Map<KeyHash, AccountId> keys() {
        return keys;
    }

    Map<PoolId, PoolRule> pools() {
        return pools;
    }

    Map<EndpointId, EndpointRule> endpoints() {
        return endpoints;
    }

    Collection<RouteRule> routes() {
        return routes.values();
    }

    Set<FailureDomain> failureDomains() {
        return failureDomains;
    }
}
