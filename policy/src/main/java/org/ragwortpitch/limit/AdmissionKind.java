package org.ragwortpitch.limit;

/**
 * The possible outcomes of a request for quota.
 */
public enum AdmissionKind {
    /** The quota was deducted. */
    GRANTED,
    /** The account has exceeded its rate. */
    OVER_RATE,
    /** This daemon is not an owner of the account. */
    NOT_HOME,
    /** This daemon is an owner, but its share has not started yet or its lease has expired. */
    NOT_READY
}
