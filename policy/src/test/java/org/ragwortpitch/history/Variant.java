package org.ragwortpitch.history;

/**
 * What a history runs: the rules as they are, or one of them broken, as a control that the check can fail.
 */
enum Variant {
    /**
     * The rules as they are.
     */
    CORRECT,
    /**
     * A lease counts from when its renewal was read back.
     */
    LEASE_FROM_READ_BACK,
    /**
     * A member is declared gone whatever renewal it has sent since.
     */
    GONE_WITHOUT_SUPERSEDED_OFFSET,
    /**
     * A home starts without waiting for others to acknowledge.
     */
    HOME_WITHOUT_ACKNOWLEDGEMENT,
    /**
     * A loan keeps no room in the lender's bucket.
     */
    LOAN_WITHOUT_HOLD
}
