package org.ragwortpitch.gateway;

import java.util.Optional;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.RouteRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.identity.RequestId;

/**
 * What is known of a call once it has passed the door.
 *
 * @param requestId      the request's id, as the caller gave it or made here
 * @param route          the route
 * @param account        the client account; nothing on open routes
 * @param key            the hash of the key; nothing on open routes
 * @param configuration  the rules that the call was let in by
 * @param startedNanos   when the call came, in nanoseconds
 * @param deadlineMillis when it is too late, of the monotonic clock
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
     * The account that calls of open routes are counted under.
     */
    public static final AccountId OPEN = new AccountId("open");

    /**
     * Tells the client account that the call is counted under.
     *
     * @return the account
     */
    public AccountId accountId() {
        return account.map(AccountRule::id).orElse(OPEN);
    }

    /**
     * Tells the account's weight.
     *
     * @return the weight
     */
    public long weight() {
        return account.map(AccountRule::weight).orElse(1L);
    }

    /**
     * Names the request uniquely over client accounts.
     *
     * @return the name
     */
    public RequestId globalId() {
        return new RequestId(accountId() + "/" + requestId);
    }
}
