package org.ragwortpitch.limit;

import java.util.List;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * What the limits follow from: the log as applied by this daemon, and its own lease.
 *
 * @param self           this daemon's incarnation
 * @param members        the members
 * @param accounts       the accounts' rules
 * @param changedOffset  where members or rules last changed
 * @param appliedOffset  how far the log was applied
 * @param leaseEndMillis when this daemon's lease ends, of the monotonic clock
 */
public record LimitView(
        Incarnation self,
        List<Member> members,
        List<AccountRule> accounts,
        long changedOffset,
        long appliedOffset,
        long leaseEndMillis) {

    /**
     * Copies the lists.
     */
    public LimitView {
        members = List.copyOf(members);
        accounts = List.copyOf(accounts);
    }
}
