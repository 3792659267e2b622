package org.ragwortpitch.deployment;

import java.util.OptionalInt;
import java.util.Set;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Region;

/**
 * A client account.
 *
 * @param id                   the account's id
 * @param priority             overrides the priority of routes; empty if the route's applies
 * @param tokensPerSecond      the rate limit over all daemons together; 0 for no limit
 * @param burstTokens          the tokens that may be spent at once beyond the rate
 * @param defaultRequestTokens the tokens charged for a request that states none
 * @param homes                the regions that may serve its requests; empty if any region may
 */
public record AccountSpec(
        AccountId id,
        OptionalInt priority,
        long tokensPerSecond,
        long burstTokens,
        long defaultRequestTokens,
        Set<Region> homes) {

    /**
     * Copies the homes.
     */
    public AccountSpec {
        homes = Set.copyOf(homes);
    }

    /**
     * Creates an account whose requests any region may serve.
     */
    public AccountSpec(
            AccountId id, OptionalInt priority, long tokensPerSecond, long burstTokens, long defaultRequestTokens) {
        this(id, priority, tokensPerSecond, burstTokens, defaultRequestTokens, Set.of());
    }

    /**
     * Returns whether the account has a rate limit.
     */
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
