package org.ragwortpitch.gateway;

import java.util.Optional;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.RouteRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.identity.RequestId;

/**
 * The context of a call whose route is known and whose API key, where the route requires one, was accepted.
 *
 * @param requestId      the id that the caller sent, or a generated one
 * @param route          the route
 * @param account        the client account; empty on routes that need no key
 * @param key            the hash of the API key; empty on routes that need no key
 * @param configuration  the configuration that the call was authenticated with
 * @param startedNanos   when the call arrived, by {@link System#nanoTime}
 * @param deadlineMillis the deadline, in milliseconds of the monotonic clock
 */
public record CallContext(
        RequestId requestId,
        RouteRule route,
        Optional<AccountRule> account,
        Optional<KeyHash> key,
        Configuration configuration,
        long startedNanos,
        long deadlineMillis) {

    /**
     * The account that calls without a key are counted under.
     */
    public static final AccountId UNAUTHENTICATED = new AccountId("open");

    /**
     * Returns the client account that the call is counted under.
     *
     * @return the account; {@link #UNAUTHENTICATED} on routes that need no key
     */
    public AccountId accountId() {
        return account.map(AccountRule::id).orElse(UNAUTHENTICATED);
    }

    /**
     * Returns the account's weight in fair queueing.
     *
     * @return the weight; 1 on routes that need no key
     */
    public long weight() {
        return account.map(AccountRule::weight).orElse(1L);
    }

    /**
     * Returns a request id that is unique across client accounts: the account and the caller's request id.
     *
     * @return the id
     */
    public RequestId globalId() {
        return new RequestId(accountId() + "/" + requestId);
    }
}
