package org.ragwortpitch.limit;

/**
 * An amount of a client account's quota.
 *
 * @param tokens   the prompt and output tokens, as an upper bound
 * @param requests the number of requests
 */
public record QuotaAmount(long tokens, long requests) {}
