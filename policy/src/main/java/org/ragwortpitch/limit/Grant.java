package org.ragwortpitch.limit;

/**
 * The amounts reserved from an account's share for one request.
 *
 * @param tokens   the reservation of tokens
 * @param requests the reservation of requests
 */
record Grant(Reservation tokens, Reservation requests) {}
