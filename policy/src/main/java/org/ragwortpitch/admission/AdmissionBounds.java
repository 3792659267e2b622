package org.ragwortpitch.admission;

/**
 * Limits on the requests that wait.
 *
 * @param maxRequests the limit on their number
 * @param maxBytes    the limit on the bytes of their bodies together
 */
public record AdmissionBounds(int maxRequests, long maxBytes) {}
