package org.ragwortpitch.limit;

/**
 * Quota lent to another daemon.
 *
 * @param grant     the amounts reserved from the share
 * @param endMillis when the borrower can no longer spend it
 * @param held      whether capacity is set aside for it
 */
record BorrowedQuota(Grant grant, long endMillis, boolean held) {

    BorrowedQuota withoutHold() {
        return new BorrowedQuota(grant, endMillis, false);
    }
}
