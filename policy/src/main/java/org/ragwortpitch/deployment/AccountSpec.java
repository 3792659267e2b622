package org.ragwortpitch.deployment;

import java.util.OptionalInt;
import org.ragwortpitch.identity.AccountId;

/**
 * A client account.
 *
 * @param id              its name
 * @param urgency         goes before that of routes; empty if routes decide
 * @param tokensPerSecond its rate over all daemons; 0 is no limit
 * @param burstTokens     what it may spend at once beyond its rate
 * @param plainTokens     what a request counts that states no tokens
 */
public record AccountSpec(AccountId id, OptionalInt urgency, long tokensPerSecond, long burstTokens, long plainTokens) {

    /**
     * Tells whether the account is held to a rate.
     */
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
