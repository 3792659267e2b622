package org.ragwortpitch.queue;

/**
 * The bounds of a queue.
 *
 * @param maxRequests           the most requests in all
 * @param maxRequestsPerAccount the most requests of one client account
 */
public record QueueBounds(int maxRequests, int maxRequestsPerAccount) {}
