package org.ragwortpitch.queue;

import org.ragwortpitch.identity.AccountId;

/**
 * A queued request.
 *
 * @param item           the request itself
 * @param account        the client account
 * @param weight         the account's weight
 * @param costTokens     the expected cost of the request, in tokens
 * @param priority       its priority within the account, 0 being the most urgent
 * @param deadlineMillis the time of the monotonic clock at which it expires, in milliseconds
 * @param <T>            the type of requests
 */
public record QueuedRequest<T>(
        T item, AccountId account, long weight, long costTokens, int priority, long deadlineMillis) {}
