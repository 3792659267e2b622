package org.ragwortpitch.configuration;

import org.ragwortpitch.identity.AccountId;

/**
 * A client account.
 *
 * @param id       the account
 * @param weight   the weighted fair share of the fleet under overload, relative to the other accounts
 * @param tokens   the rate limit in tokens of prompt and output
 * @param requests the rate limit in requests
 */
public record AccountRule(AccountId id, long weight, RateLimit tokens, RateLimit requests) {}
