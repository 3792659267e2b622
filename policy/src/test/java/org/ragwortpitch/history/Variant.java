package org.ragwortpitch.history;

/**
 * The rules that a simulated history follows: the correct ones, or one of them broken as a negative control, which
 * shows that the checks can fail.
 */
enum Variant {
    /**
     * All rules are followed.
     */
    CORRECT,
    /**
     * A lease starts when its renewal is read back, instead of when the renewal was sent.
     */
    LEASE_FROM_READ_BACK,
    /**
     * A member is evicted even if it has renewed its lease since.
     */
    EVICTION_WITHOUT_SUPERSEDED_OFFSET,
    /**
     * An owner of an account's quota starts to grant before the other members have acknowledged the change of
     * membership.
     */
    OWNER_WITHOUT_ACKNOWLEDGEMENT,
    /**
     * A lender does not reserve borrowed quota in its token bucket.
     */
    LOAN_WITHOUT_RESERVATION
}
