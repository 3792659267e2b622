package org.ragwortpitch.admission;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.membership.Member;

/**
 * The other daemons, which lend quota that they own and take over quota as successors.
 */
public interface QuotaLenders {

    /**
     * Borrows quota from its owner.
     *
     * @param id        identifies the borrowed quota
     * @param requested the quota that is requested
     * @return the owner's response; fails if none arrives in time
     */
    CompletionStage<Admission> borrow(Incarnation owner, AccountId account, TransferId id, QuotaAmount requested);

    /**
     * Reports to the owner how much borrowed quota was used. The message may be lost, in which case the unused rest is
     * not returned to the account.
     *
     * @param id identifies the borrowed quota
     */
    void settle(Incarnation owner, AccountId account, TransferId id, QuotaAmount used);

    /**
     * Hands an account's quota over to its successor. The message may be lost, in which case the successor starts with
     * an empty quota.
     */
    void handOver(Member successor, QuotaHandover handover);
}
