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

    /** How long borrowed quota can be spent, in milliseconds of the lender's clock. */
    private final long lentQuotaMillis;

    /** The shares that this daemon can spend from. */
    private final Map<AccountId, OwnedShare> shares = new HashMap<>();

    /** The log offset that all other members must acknowledge before this daemon can spend an account's share. */
    private final Map<AccountId, Long> awaitedOffsets = new HashMap<>();

    /** When an acknowledged share starts: when quota lent by a previous owner can no longer be spent. */
    private final Map<AccountId, Long> startMillisByAccount = new HashMap<>();

    /** The handovers that arrived before this daemon had applied the change that makes it the successor. */
    private final Map<AccountId, QuotaHandover> earlyHandovers = new HashMap<>();

    /** Caches the owners of each account; cleared when the candidates change. */
    private final Map<AccountId, List<Incarnation>> owners = new HashMap<>();

    /** The incarnations that the owners are chosen from. */
    private Set<Incarnation> candidates = Set.of();

    private QuotaContext context;

    /**
     * Creates an instance without any shares.
     *
     * @param ownerCount      the number of owners of each account
     * @param lentQuotaMillis how long borrowed quota can be spent, in milliseconds
     */
    public AccountQuotas(int ownerCount, long lentQuotaMillis) {
        this.ownerCount = ownerCount;
        this.lentQuotaMillis = lentQuotaMillis;
    }

    /**
     * Applies a newer context. Ends the shares of accounts that this daemon no longer owns, and every share if the
     * daemon has rejoined under a new incarnation.
     *
     * @return the ended shares with their levels, to be handed over to the new owners
     */
    public List<QuotaHandover> update(QuotaContext next, long nowMillis) {
        Set<Incarnation> nextCandidates = candidatesOf(next.members());
        boolean candidatesChanged = !nextCandidates.equals(candidates)
                || context == null
                || !context.self().equals(next.self());
        if (candidatesChanged) {
            candidates = nextCandidates;
            owners.clear();
        }
        if (context != null && !context.self().equals(next.self())) {
            shares.clear();
            awaitedOffsets.clear();
            startMillisByAccount.clear();
            earlyHandovers.clear();
        }
        boolean accountsChanged = context == null || !context.accounts().equals(next.accounts());
        context = next;
        List<QuotaHandover> handovers = new ArrayList<>();
        if (candidatesChanged || accountsChanged) {
            endShares(handovers, nowMillis);
            next.accounts().forEach(rule -> assign(rule, nowMillis));
        }
        startAcknowledged(nowMillis);
        return handovers;
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
     * @param handovers receives the levels of the ended shares
     */
    private void endShares(List<QuotaHandover> handovers, long nowMillis) {
        Set<AccountId> known = new HashSet<>();
        context.accounts().forEach(rule -> known.add(rule.id()));
        shares.entrySet().removeIf(entry -> {
            AccountId account = entry.getKey();
            List<Incarnation> currentOwners = known.contains(account) ? ownersOf(account) : List.of();
            boolean ended = !currentOwners.contains(context.self());
            boolean leaseHeld = nowMillis < context.leaseEndMillis();
            if (ended && leaseHeld && !currentOwners.isEmpty()) {
                OwnedShare share = entry.getValue();
                QuotaAmount level = new QuotaAmount(share.levelTokens(nowMillis), share.levelRequests(nowMillis));
                QuotaAmount lent = share.lent(nowMillis);
                handovers.add(new QuotaHandover(account, currentOwners.get(0), context.appliedOffset(), level, lent));
            }
            return ended;
        });
        awaitedOffsets
                .keySet()
                .removeIf(account ->
                        !known.contains(account) || !ownersOf(account).contains(context.self()));
    }

    /**
     * Starts to wait for the share of an account that this daemon owns, or applies a changed rule to the existing
     * share.
     */
    private void assign(AccountRule rule, long nowMillis) {
        if (!ownersOf(rule.id()).contains(context.self())) {
            return;
        }
        OwnedShare share = shares.get(rule.id());
        if (share == null) {
            awaitedOffsets.putIfAbsent(rule.id(), context.changedOffset());
            QuotaHandover early = earlyHandovers.remove(rule.id());
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
        long acknowledged = context.members().stream()
                .filter(member -> !member.incarnation().equals(context.self()))
                .mapToLong(Member::acknowledgedOffset)
                .min()
                .orElse(Long.MAX_VALUE);
        for (AccountRule rule : context.accounts()) {
            Long awaited = awaitedOffsets.get(rule.id());
            if (awaited != null && acknowledged >= awaited) {
                startMillisByAccount.putIfAbsent(rule.id(), nowMillis + lentQuotaMillis);
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
    public boolean acceptHandover(QuotaHandover handover, long nowMillis) {
        Long awaited = awaitedOffsets.get(handover.account());
        if (awaited == null) {
            earlyHandovers.put(handover.account(), handover);
            return false;
        }
        boolean forSelf = handover.successor().equals(context.self());
        if (ownerCount != 1 || !forSelf || handover.appliedOffset() < awaited) {
            return false;
        }
        for (AccountRule rule : context.accounts()) {
            if (rule.id().equals(handover.account())) {
                OwnedShare share = start(rule, nowMillis);
                share.holdForLent(new TransferId("previous owner"), handover.lent(), nowMillis + lentQuotaMillis);
                share.credit(handover.level(), nowMillis);
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
     * @param id identifies the borrowed quota when it is settled
     */
    public Admission lend(AccountId account, TransferId id, QuotaAmount amount, long nowMillis) {
        OwnedShare share = spendableShare(account, nowMillis);
        return share == null ? refusal(account, id) : share.lend(id, amount, nowMillis + lentQuotaMillis, nowMillis);
    }

    /**
     * Settles a grant or borrowed quota. Does nothing if there is neither under that id.
     *
     * @param used the amount that was used
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
        boolean leaseHeld = context != null && nowMillis < context.leaseEndMillis();
        return leaseHeld ? shares.get(account) : null;
    }

    private Admission refusal(AccountId account, TransferId id) {
        boolean owner = context != null && ownersOf(account).contains(context.self());
        return Admission.refused(owner ? AdmissionKind.NOT_READY : AdmissionKind.NOT_HOME, id, 0);
    }
}
