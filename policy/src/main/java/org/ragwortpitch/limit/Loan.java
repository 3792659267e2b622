package org.ragwortpitch.limit;

/**
 * An allowance lent to another daemon.
 *
 * @param grant     what was taken from the share
 * @param endMillis when the borrower can no longer spend it
 * @param held      whether room is kept for it
 */
record Loan(Grant grant, long endMillis, boolean held) {

    /**
     * Tells this loan without room kept for it.
     *
     * @return the loan
     */
    Loan withoutHold() {
        return new Loan(grant, endMillis, false);
    }
}
