package org.ragwortpitch.configuration;

import static org.ragwortpitch.configuration.AttributeSpec.optional;
import static org.ragwortpitch.configuration.AttributeSpec.required;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of rules, with the attributes that each takes.
 */
public enum RuleKind {
    /**
     * A failure domain of the deployment.
     */
    FAILURE_DOMAIN(List.of()),

    /**
     * A client account.
     */
    ACCOUNT(List.of(
            optional("weight", AttributeTypes.integer(1, 1_000), "1"),
            required("tokens-per-second", AttributeTypes.integer(1, Limits.MAX_RATE)),
            required("burst-tokens", AttributeTypes.integer(1, Limits.MAX_BURST)),
            required("requests-per-second", AttributeTypes.integer(1, Limits.MAX_RATE)),
            required("burst-requests", AttributeTypes.integer(1, Limits.MAX_BURST)))),

    /**
     * A client account's key, stored as its hash.
     */
    KEY(List.of(
            required("account", AttributeTypes.name()), required("sha256", AttributeTypes.matching("[0-9a-f]{64}")))),

    /**
     * A pool of endpoints.
     */
    POOL(List.of(
            required("serves", AttributeTypes.oneOf(PoolKind.values())),
            optional("concurrency", AttributeTypes.integer(1, 10_000), "64"))),

    /**
     * An endpoint.
     */
    ENDPOINT(List.of(
            required("pool", AttributeTypes.name()),
            required("failure-domain", AttributeTypes.name()),
            required("address", AttributeTypes.address()),
            optional("role", AttributeTypes.oneOf(EndpointRole.values()), "mixed"),
            optional("fencing", AttributeTypes.matching("checked|ignored"), "ignored"),
            optional("supply", AttributeTypes.oneOf(Supply.values()), "firm"),
            optional("cost-micros-per-hour", AttributeTypes.integer(0, Limits.MAX_RATE), "0"))),

    /**
     * A route for callers.
     */
    ROUTE(List.of(
            required("path", AttributeTypes.matching("/[A-Za-z0-9._~/-]*[A-Za-z0-9._~-]")),
            required("access", AttributeTypes.oneOf(Access.values())),
            required("repeat", AttributeTypes.oneOf(Repetition.values())),
            optional("class", AttributeTypes.name(), "default"),
            optional("priority", AttributeTypes.integer(0, 9), "5"),
            optional("service", AttributeTypes.name(), ""),
            optional("deadline-millis", AttributeTypes.integer(1, 3_600_000), "120000")));

    /**
     * The attributes that this kind takes.
     */
    private final List<AttributeSpec> attributes;

    /**
     * Makes a kind.
     *
     * @param attributes the attributes that it takes
     */
    RuleKind(List<AttributeSpec> attributes) {
        this.attributes = attributes;
    }

    /**
     * Tells the attributes that this kind takes.
     *
     * @return the attributes
     */
    public List<AttributeSpec> attributes() {
        return attributes;
    }

    /**
     * Finds an attribute of this kind.
     *
     * @param name the attribute's name
     * @return the attribute, if this kind takes it
     */
    public Optional<AttributeSpec> attribute(String name) {
        return attributes.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /**
     * Tells the word that begins a rule of this kind.
     *
     * @return the word
     */
    public String word() {
        return wordOf(this);
    }

    /**
     * Finds a kind by its word.
     *
     * @param word the word
     * @return the kind, if there is one
     */
    public static Optional<RuleKind> ofWord(String word) {
        for (RuleKind kind : values()) {
            if (kind.word().equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Spells a constant as the rules do.
     *
     * @param constant the constant
     * @return lower-case words with hyphens
     */
    static String wordOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
