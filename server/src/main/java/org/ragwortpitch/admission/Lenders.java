package org.ragwortpitch.admission;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.membership.Member;

/**
 * Asks other daemons for allowance.
 */
public interface Lenders {

    /**
     * Asks a home for a loan.
     *
     * @param home    the home
     * @param account the account
     * @param id      names the loan
     * @param wish    the allowance
     * @return the home's answer; fails if none comes in time
     */
    CompletionStage<Admission> borrow(Incarnation home, AccountId account, TransferId id, Allowance wish);

    /**
     * Tells a home what was used of a loan. It may get lost, which costs the account what it did not use.
     *
     * @param home    the home
     * @param account the account
     * @param id      names the loan
     * @param used    what was used
     */
    void settle(Incarnation home, AccountId account, TransferId id, Allowance used);

    /**
     * Hands a share to its new home. It may get lost, whereupon the new home starts with an empty one.
     *
     * @param heir      the new home
     * @param surrender the surrender
     */
    void surrender(Member heir, Surrender surrender);
}
