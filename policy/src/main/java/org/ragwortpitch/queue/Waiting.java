package org.ragwortpitch.queue;

import org.ragwortpitch.identity.AccountId;

/**
 * A request that waits.
 *
 * @param item           the request itself
 * @param account        the client account
 * @param weight         the account's weight
 * @param costTokens     what the request is expected to cost, in tokens
 * @param priority       its priority within the account, 0 being the most urgent
 * @param deadlineMillis when it is too late, of the monotonic clock
 * @param <T>            the type of requests
 */
public record Waiting<T>(T item, AccountId account, long weight, long costTokens, int priority, long deadlineMillis) {}
