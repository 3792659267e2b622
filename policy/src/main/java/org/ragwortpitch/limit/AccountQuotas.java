package org.ragwortpitch.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.membership.Member;

/**
 * This daemon's shares of the accounts that it owns. Confined to one thread; times are of the process's monotonic
 * clock.
 *
 * <p>A daemon that becomes an owner at a log offset waits until every other member has acknowledged that offset, has
 * departed, or has handed the share over to it. By then any previous owner has stopped, because each daemon acts on the
 * members that it has applied. So at no time do more daemons spend an account's quota than the account has owners.
 */
public final class AccountQuotas {

    private final int ownerCount;

    /** How long a loan can be spent, in milliseconds of the lender's clock. */
    private final long loanMillis;

    /** The shares that this daemon can spend from. */
    private final Map<AccountId, OwnedShare> shares = new HashMap<>();

    /** The log offset that all other members must acknowledge before this daemon can spend an account's share. */
    private final Map<AccountId, Long> awaitedOffsets = new HashMap<>();

    /** When an acknowledged share starts: when loans of a previous owner can no longer be spent. */
    private final Map<AccountId, Long> startMillisByAccount = new HashMap<>();

    /** The handovers that arrived before this daemon had applied the change that makes it the successor. */
    private final Map<AccountId, QuotaHandover> earlySurrenders = new HashMap<>();

    /** Caches the owners of each account; cleared when the candidates change. */
    private final Map<AccountId, List<Incarnation>> owners = new HashMap<>();

    /** The incarnations that the owners are chosen from. */
    private Set<Incarnation> candidates = Set.of();

    private QuotaContext view;

    /**
     * Creates an instance without any shares.
     *
     * @param ownerCount the number of owners of each account
     * @param loanMillis how long a loan can be spent, in milliseconds
     */
    public AccountQuotas(int ownerCount, long loanMillis) {
        this.ownerCount = ownerCount;
        this.loanMillis = loanMillis;
    }

    /**
     * Applies a newer view. Ends the shares of accounts that this daemon no longer owns, and every share if the daemon
     * has rejoined under a new incarnation.
     *
     * @return the ended shares with their levels, to be handed over to the new owners
     */
    public List<QuotaHandover> update(QuotaContext next, long nowMillis) {
        Set<Incarnation> nextCandidates = candidatesOf(next.members());
        boolean candidatesChanged = !nextCandidates.equals(candidates)
                || view == null
                || !view.self().equals(next.self());
        if (candidatesChanged) {
            candidates = nextCandidates;
            owners.clear();
        }
        if (view != null && !view.self().equals(next.self())) {
            shares.clear();
            awaitedOffsets.clear();
            startMillisByAccount.clear();
            earlySurrenders.clear();
        }
        boolean accountsChanged = view == null || !view.accounts().equals(next.accounts());
        view = next;
        List<QuotaHandover> surrendered = new ArrayList<>();
        if (candidatesChanged || accountsChanged) {
            endShares(surrendered, nowMillis);
            next.accounts().forEach(rule -> assign(rule, nowMillis));
        }
        startAcknowledged(nowMillis);
        return surrendered;
    }

    /** Returns the members that can be owners: those that are not leaving, or all members if all are leaving. */
    private static Set<Incarnation> candidatesOf(List<Member> members) {
        Set<Incarnation> staying = new HashSet<>();
        Set<Incarnation> all = new HashSet<>();
        for (Member member : members) {
            all.add(member.incarnation());
            if (!member.leaving()) {
                staying.add(member.incarnation());
            }
        }
        return staying.isEmpty() ? all : staying;
    }

    /**
     * Ends the shares of accounts that this daemon no longer owns. A share is handed over only while the lease is held:
     * without the lease, another owner may have come and gone in the meantime.
     *
     * @param surrendered receives the levels of the ended shares
     */
    private void endShares(List<QuotaHandover> surrendered, long nowMillis) {
        Set<AccountId> known = new HashSet<>();
        view.accounts().forEach(rule -> known.add(rule.id()));
        shares.entrySet().removeIf(entry -> {
            AccountId account = entry.getKey();
            List<Incarnation> currentOwners = known.contains(account) ? ownersOf(account) : List.of();
            boolean ended = !currentOwners.contains(view.self());
            boolean leaseHeld = nowMillis < view.leaseEndMillis();
            if (ended && leaseHeld && !currentOwners.isEmpty()) {
                OwnedShare share = entry.getValue();
                QuotaAmount level = new QuotaAmount(share.levelTokens(nowMillis), share.levelRequests(nowMillis));
                QuotaAmount lent = share.lent(nowMillis);
                surrendered.add(new QuotaHandover(account, currentOwners.get(0), view.appliedOffset(), level, lent));
            }
            return ended;
        });
        awaitedOffsets
                .keySet()
                .removeIf(account ->
                        !known.contains(account) || !ownersOf(account).contains(view.self()));
    }

    /**
     * Starts to wait for the share of an account that this daemon owns, or applies a changed rule to the existing
     * share.
     */
    private void assign(AccountRule rule, long nowMillis) {
        if (!ownersOf(rule.id()).contains(view.self())) {
            return;
        }
        OwnedShare share = shares.get(rule.id());
        if (share == null) {
            awaitedOffsets.putIfAbsent(rule.id(), view.changedOffset());
            QuotaHandover early = earlySurrenders.remove(rule.id());
            if (early != null) {
                acceptHandover(early, nowMillis);
            }
        } else if (!share.rule().equals(rule)) {
            shares.put(rule.id(), withRule(share, rule, nowMillis));
        }
    }

    /** Returns a share under a changed rule that keeps the former share's levels as far as they fit. */
    private OwnedShare withRule(OwnedShare share, AccountRule rule, long nowMillis) {
        OwnedShare next = new OwnedShare(rule, ownerCount, nowMillis);
        next.credit(new QuotaAmount(share.levelTokens(nowMillis), share.levelRequests(nowMillis)), nowMillis);
        return next;
    }

    /** Starts the shares whose wait is over. */
    private void startAcknowledged(long nowMillis) {
        long acknowledged = view.members().stream()
                .filter(member -> !member.incarnation().equals(view.self()))
                .mapToLong(Member::acknowledgedOffset)
                .min()
                .orElse(Long.MAX_VALUE);
        for (AccountRule rule : view.accounts()) {
            Long awaited = awaitedOffsets.get(rule.id());
            if (awaited != null && acknowledged >= awaited) {
                startMillisByAccount.putIfAbsent(rule.id(), nowMillis + loanMillis);
            }
            if (awaited != null && nowMillis >= startMillisByAccount.getOrDefault(rule.id(), Long.MAX_VALUE)) {
                start(rule, nowMillis);
            }
        }
    }

    /** Starts an empty share. */
    private OwnedShare start(AccountRule rule, long nowMillis) {
        awaitedOffsets.remove(rule.id());
        startMillisByAccount.remove(rule.id());
        OwnedShare share = new OwnedShare(rule, ownerCount, nowMillis);
        shares.put(rule.id(), share);
        return share;
    }

    /**
     * Takes over a share handed over by its previous, sole owner.
     *
     * @return whether the share was taken over; if this daemon does not yet wait for the account, the handover is
     * stored until it does
     */
    public boolean acceptHandover(QuotaHandover surrender, long nowMillis) {
        Long awaited = awaitedOffsets.get(surrender.account());
        if (awaited == null) {
            earlySurrenders.put(surrender.account(), surrender);
            return false;
        }
        boolean forSelf = surrender.successor().equals(view.self());
        if (ownerCount != 1 || !forSelf || surrender.appliedOffset() < awaited) {
            return false;
        }
        for (AccountRule rule : view.accounts()) {
            if (rule.id().equals(surrender.account())) {
                OwnedShare share = start(rule, nowMillis);
                share.holdForLent(new TransferId("previous owner"), surrender.lent(), nowMillis + loanMillis);
                share.credit(surrender.level(), nowMillis);
            }
        }
        return true;
    }

    /**
     * Requests quota for a request on this daemon.
     *
     * @param id identifies the grant when it is settled
     */
    public Admission admit(AccountId account, TransferId id, QuotaAmount amount, long nowMillis) {
        OwnedShare share = spendableShare(account, nowMillis);
        return share == null ? refusal(account, id) : share.grant(id, amount, nowMillis);
    }

    /**
     * Requests quota for a request on another daemon.
     *
     * @param id identifies the loan when it is settled
     */
    public Admission lend(AccountId account, TransferId id, QuotaAmount amount, long nowMillis) {
        OwnedShare share = spendableShare(account, nowMillis);
        return share == null ? refusal(account, id) : share.lend(id, amount, nowMillis + loanMillis, nowMillis);
    }

    /**
     * Settles a grant or a loan. Does nothing if there is neither under that id.
     *
     * @param used the part that was used
     */
    public void settle(AccountId account, TransferId id, QuotaAmount used, long nowMillis) {
        OwnedShare share = shares.get(account);
        if (share != null) {
            share.settle(id, used, nowMillis);
        }
    }

    /** Returns the owners of an account, most preferred first. */
    public List<Incarnation> ownersOf(AccountId account) {
        return owners.computeIfAbsent(account, id -> OwnerAssignment.owners(id, candidates, ownerCount));
    }

    /** Returns whether this daemon can spend an account's share now. */
    public boolean isReady(AccountId account, long nowMillis) {
        return spendableShare(account, nowMillis) != null;
    }

    /** Returns the share if it can be spent now, else null. */
    private OwnedShare spendableShare(AccountId account, long nowMillis) {
        boolean leaseHeld = view != null && nowMillis < view.leaseEndMillis();
        return leaseHeld ? shares.get(account) : null;
    }

    private Admission refusal(AccountId account, TransferId id) {
        boolean owner = view != null && ownersOf(account).contains(view.self());
        return Admission.refused(owner ? AdmissionKind.NOT_READY : AdmissionKind.NOT_HOME, id, 0);
    }
}
