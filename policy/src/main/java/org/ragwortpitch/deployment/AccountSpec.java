package org.ragwortpitch.deployment;

import java.util.OptionalInt;
import org.ragwortpitch.identity.AccountId;

/**
 * A client account.
 *
 * @param id                   the account's id
 * @param priority             overrides the priority of routes; empty if the route's applies
 * @param tokensPerSecond      the rate limit over all daemons together; 0 for no limit
 * @param burstTokens          the tokens that may be spent at once beyond the rate
 * @param defaultRequestTokens the tokens charged for a request that states none
 */
public record AccountSpec(
        AccountId id, OptionalInt priority, long tokensPerSecond, long burstTokens, long defaultRequestTokens) {

    /**
     * Returns whether the account has a rate limit.
     */
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
