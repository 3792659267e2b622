package org.ragwortpitch.edge.standin;

/**
 * A duty call.
 *
 * @param holder the lease holder that the caller states
 * @param token  the fencing token that the caller states
 */
public record DutyCall(String path, String holder, String token, String body) {}
