package org.ragwortpitch.queue;

/**
 * Limits on the length of a queue.
 *
 * @param maxRequests           the limit on the requests of all client accounts together
 * @param maxRequestsPerAccount the limit on the requests of one client account
 */
public record QueueBounds(int maxRequests, int maxRequestsPerAccount) {}
