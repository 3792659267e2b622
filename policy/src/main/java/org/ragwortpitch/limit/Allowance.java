package org.ragwortpitch.limit;

/**
 * What a request needs of its client account's limits.
 *
 * @param tokens   the tokens of prompt and output, as a bound
 * @param requests the requests
 */
public record Allowance(long tokens, long requests) {}
