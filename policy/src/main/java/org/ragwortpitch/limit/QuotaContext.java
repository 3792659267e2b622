package org.ragwortpitch.limit;

import java.util.List;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * The state that quota ownership is derived from: the log as applied by this daemon, and the daemon's own lease.
 *
 * @param self           this daemon's incarnation
 * @param members        the members
 * @param accounts       the accounts' rules
 * @param changedOffset  the log offset at which members or rules last changed
 * @param appliedOffset  the log offset up to which this daemon has applied the log
 * @param leaseEndMillis when this daemon's lease ends, on the monotonic clock
 */
public record QuotaContext(
        Incarnation self,
        List<Member> members,
        List<AccountRule> accounts,
        long changedOffset,
        long appliedOffset,
        long leaseEndMillis) {

    /** Copies the lists. */
    public QuotaContext {
        members = List.copyOf(members);
        accounts = List.copyOf(accounts);
    }
}
