package org.ragwortpitch.edge.standin;

/**
 * An answer of {@link StandinEndpoint}.
 *
 * @param attemptId of the request
 * @param seal      unique to the answer; empty if the endpoint did not run the request or does not sign
 */
public record StandinAnswer(String attemptId, String seal, int status) {}
