package org.ragwortpitch.configuration;

import static org.ragwortpitch.configuration.AttributeSpec.optional;
import static org.ragwortpitch.configuration.AttributeSpec.required;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The rule kinds, with the attributes that each accepts.
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
     * An API key of a client account, stored as its hash.
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
     * A route for callers' requests.
     */
    ROUTE(List.of(
            required("path", AttributeTypes.matching("/[A-Za-z0-9._~/-]*[A-Za-z0-9._~-]")),
            required("access", AttributeTypes.oneOf(Access.values())),
            required("repeat", AttributeTypes.oneOf(Repeatability.values())),
            optional("class", AttributeTypes.name(), "default"),
            optional("priority", AttributeTypes.integer(0, 9), "5"),
            optional("service", AttributeTypes.name(), ""),
            optional("deadline-millis", AttributeTypes.integer(1, 3_600_000), "120000")));

    private final List<AttributeSpec> attributes;

    RuleKind(List<AttributeSpec> attributes) {
        this.attributes = attributes;
    }

    /**
     * Returns the attributes that this kind accepts.
     */
    public List<AttributeSpec> attributes() {
        return attributes;
    }

    /**
     * Returns the attribute with a name, or empty if this kind does not accept it.
     */
    public Optional<AttributeSpec> attribute(String name) {
        return attributes.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /**
     * Returns the keyword that starts a rule of this kind.
     */
    public String keyword() {
        return keywordOf(this);
    }

    /**
     * Returns the kind with a keyword, or empty if there is none.
     */
    public static Optional<RuleKind> ofKeyword(String keyword) {
        for (RuleKind kind : values()) {
            if (kind.keyword().equals(keyword)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the spelling of a constant in rules: in lower case, with hyphens.
     */
    static String keywordOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
