package org.ragwortpitch.limit;

/**
 * Quota lent to another daemon.
 *
 * @param grant     the amounts reserved from the share
 * @param endMillis when the borrower can no longer spend it
 * @param held      whether capacity is set aside for it
 */
record Loan(Grant grant, long endMillis, boolean held) {

    Loan withoutHold() {
        return new Loan(grant, endMillis, false);
    }
}
