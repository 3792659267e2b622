package org.ragwortpitch.limit;

/**
 * What was taken from an account's share for a request.
 *
 * @param tokens   the reservation of tokens
 * @param requests the reservation of requests
 */
record Grant(Reservation tokens, Reservation requests) {}
