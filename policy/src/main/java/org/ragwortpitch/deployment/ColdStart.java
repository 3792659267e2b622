package org.ragwortpitch.deployment;

/**
 * How endpoints of a pool behave while they are cold, that is, for some time after their start.
 *
 * @param durationMillis    how long an endpoint is cold after it starts, in milliseconds
 * @param requestsPerSecond the requests a second that a cold endpoint takes from all daemons together; 0 for none
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {}
