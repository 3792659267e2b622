package org.ragwortpitch.limit;

/**
 * The answers to a wish for allowance.
 */
public enum AdmissionKind {
    /**
     * The allowance was taken.
     */
    GRANTED,
    /**
     * The account is over its rate.
     */
    OVER_RATE,
    /**
     * This daemon is no home of the account.
     */
    NOT_HOME,
    /**
     * This daemon is a home, but may not act as one yet, or no longer.
     */
    NOT_READY
}
