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
 * A daemon's part in the limits of all accounts: the shares of those that it is a home of. Confined to one thread;
 * times are of the process's monotonic clock.
 *
 * <p>A daemon that becomes a home at an offset waits until every other member has acknowledged that offset, or has
 * departed, or has surrendered the share to it. Whoever was a home before has then stopped, because each daemon acts by
 * the members that it has applied. So at no time more daemons spend an account's allowance than it has homes.
 */
public final class Limits {

    /**
     * How many homes an account has.
     */
    private final int homeCount;

    /**
     * How long a loan may be spent, in milliseconds of the lender's clock.
     */
    private final long loanMillis;

    /**
     * The shares that this daemon may spend.
     */
    private final Map<AccountId, HomeShare> shares = new HashMap<>();

    /**
     * The offset that others must acknowledge before this daemon may spend an account's share.
     */
    private final Map<AccountId, Long> awaitedOffsets = new HashMap<>();

    /**
     * When an acknowledged share starts, which is when no loan of a former home can be spent any more.
     */
    private final Map<AccountId, Long> startsMillis = new HashMap<>();

    /**
     * The surrenders that came before this daemon knew itself to be the heir.
     */
    private final Map<AccountId, Surrender> earlySurrenders = new HashMap<>();

    /**
     * The homes of each account.
     */
    private final Map<AccountId, List<Incarnation>> homes = new HashMap<>();

    /**
     * The incarnations that the homes were computed from.
     */
    private Set<Incarnation> roster = Set.of();

    /**
     * The view that applies.
     */
    private LimitView view;

    /**
     * Makes limits without any share.
     *
     * @param homeCount  how many homes an account has
     * @param loanMillis how long a loan may be spent, in milliseconds
     */
    public Limits(int homeCount, long loanMillis) {
        this.homeCount = homeCount;
        this.loanMillis = loanMillis;
    }

    /**
     * Takes a newer view. Shares that this daemon is no longer a home of end at once, and all of them do when it has
     * joined anew.
     *
     * @param next      the view
     * @param nowMillis the present time
     * @return the shares that ended and what they held, to be surrendered to the new home
     */
    public List<Surrender> update(LimitView next, long nowMillis) {
        Set<Incarnation> nextRoster = rosterOf(next.members());
        boolean moved =
                !nextRoster.equals(roster) || view == null || !view.self().equals(next.self());
        if (moved) {
            roster = nextRoster;
            homes.clear();
        }
        if (view != null && !view.self().equals(next.self())) {
            shares.clear();
            awaitedOffsets.clear();
            startsMillis.clear();
            earlySurrenders.clear();
        }
        boolean accountsChanged = view == null || !view.accounts().equals(next.accounts());
        view = next;
        List<Surrender> surrendered = new ArrayList<>();
        if (moved || accountsChanged) {
            endShares(surrendered, nowMillis);
            next.accounts().forEach(rule -> assign(rule, nowMillis));
        }
        startAwaited(nowMillis);
        return surrendered;
    }

    /**
     * Lists who can be a home: the members that stay, or all if none does.
     *
     * @param members the members
     * @return their incarnations
     */
    private static Set<Incarnation> rosterOf(List<Member> members) {
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
     * Ends the shares that this daemon is no longer a home of. They are surrendered only under a held lease: otherwise
     * another home may have come and gone in between.
     *
     * @param surrendered where to put what they held
     * @param nowMillis   the present time
     */
    private void endShares(List<Surrender> surrendered, long nowMillis) {
        Set<AccountId> known = new HashSet<>();
        view.accounts().forEach(rule -> known.add(rule.id()));
        shares.entrySet().removeIf(entry -> {
            AccountId account = entry.getKey();
            List<Incarnation> now = known.contains(account) ? homesOf(account) : List.of();
            boolean ends = !now.contains(view.self());
            boolean believed = nowMillis < view.leaseEndMillis();
            if (ends && believed && !now.isEmpty()) {
                HomeShare share = entry.getValue();
                Allowance level = new Allowance(share.levelTokens(nowMillis), share.levelRequests(nowMillis));
                Allowance lent = share.lent(nowMillis);
                surrendered.add(new Surrender(account, now.get(0), view.appliedOffset(), level, lent));
            }
            return ends;
        });
        awaitedOffsets
                .keySet()
                .removeIf(
                        account -> !known.contains(account) || !homesOf(account).contains(view.self()));
    }

    /**
     * Takes up an account that this daemon is a home of.
     *
     * @param rule      the account's rule
     * @param nowMillis the present time
     */
    private void assign(AccountRule rule, long nowMillis) {
        if (!homesOf(rule.id()).contains(view.self())) {
            return;
        }
        HomeShare share = shares.get(rule.id());
        if (share == null) {
            awaitedOffsets.putIfAbsent(rule.id(), view.changedOffset());
            Surrender early = earlySurrenders.remove(rule.id());
            if (early != null) {
                inherit(early, nowMillis);
            }
        } else if (!share.rule().equals(rule)) {
            shares.put(rule.id(), changed(share, rule, nowMillis));
        }
    }

    /**
     * Makes the share of a changed rule, which holds what the former one held as far as it fits.
     *
     * @param share     the former share
     * @param rule      the rule
     * @param nowMillis the present time
     * @return the share
     */
    private HomeShare changed(HomeShare share, AccountRule rule, long nowMillis) {
        HomeShare next = new HomeShare(rule, homeCount, nowMillis);
        next.inherit(new Allowance(share.levelTokens(nowMillis), share.levelRequests(nowMillis)), nowMillis);
        return next;
    }

    /**
     * Starts the shares whose wait is over.
     *
     * @param nowMillis the present time
     */
    private void startAwaited(long nowMillis) {
        long acknowledged = view.members().stream()
                .filter(member -> !member.incarnation().equals(view.self()))
                .mapToLong(Member::acknowledgedOffset)
                .min()
                .orElse(Long.MAX_VALUE);
        for (AccountRule rule : view.accounts()) {
            Long awaited = awaitedOffsets.get(rule.id());
            if (awaited != null && acknowledged >= awaited) {
                startsMillis.putIfAbsent(rule.id(), nowMillis + loanMillis);
            }
            if (awaited != null && nowMillis >= startsMillis.getOrDefault(rule.id(), Long.MAX_VALUE)) {
                start(rule, nowMillis);
            }
        }
    }

    /**
     * Starts an empty share.
     *
     * @param rule      the account's rule
     * @param nowMillis the present time
     * @return the share
     */
    private HomeShare start(AccountRule rule, long nowMillis) {
        awaitedOffsets.remove(rule.id());
        startsMillis.remove(rule.id());
        HomeShare share = new HomeShare(rule, homeCount, nowMillis);
        shares.put(rule.id(), share);
        return share;
    }

    /**
     * Takes over a share that its former, only home has surrendered to this daemon.
     *
     * @param surrender the surrender
     * @param nowMillis the present time
     * @return whether it was taken
     */
    public boolean inherit(Surrender surrender, long nowMillis) {
        Long awaited = awaitedOffsets.get(surrender.account());
        if (awaited == null) {
            earlySurrenders.put(surrender.account(), surrender);
            return false;
        }
        boolean mine = surrender.heir().equals(view.self());
        if (homeCount != 1 || !mine || surrender.appliedOffset() < awaited) {
            return false;
        }
        for (AccountRule rule : view.accounts()) {
            if (rule.id().equals(surrender.account())) {
                HomeShare share = start(rule, nowMillis);
                share.holdFor(new TransferId("former home"), surrender.lent(), nowMillis + loanMillis);
                share.inherit(surrender.level(), nowMillis);
            }
        }
        return true;
    }

    /**
     * Asks for allowance for a request on this daemon.
     *
     * @param account   the account
     * @param id        names the wish
     * @param wish      the allowance
     * @param nowMillis the present time
     * @return the answer
     */
    public Admission admit(AccountId account, TransferId id, Allowance wish, long nowMillis) {
        HomeShare share = usable(account, nowMillis);
        return share == null ? refusal(account, id) : share.grant(id, wish, nowMillis);
    }

    /**
     * Asks for allowance for a request on another daemon.
     *
     * @param account    the account
     * @param id         names the wish
     * @param wish       the allowance
     * @param nowMillis  the present time
     * @return the answer
     */
    public Admission lend(AccountId account, TransferId id, Allowance wish, long nowMillis) {
        HomeShare share = usable(account, nowMillis);
        return share == null ? refusal(account, id) : share.lend(id, wish, nowMillis + loanMillis, nowMillis);
    }

    /**
     * Settles a grant or a loan.
     *
     * @param account   the account
     * @param id        its name
     * @param used      what was used
     * @param nowMillis the present time
     */
    public void settle(AccountId account, TransferId id, Allowance used, long nowMillis) {
        HomeShare share = shares.get(account);
        if (share != null) {
            share.settle(id, used, nowMillis);
        }
    }

    /**
     * Tells the homes of an account.
     *
     * @param account the account
     * @return the homes, the first being the one to prefer
     */
    public List<Incarnation> homesOf(AccountId account) {
        return homes.computeIfAbsent(account, id -> HomeAssignment.homes(id, roster, homeCount));
    }

    /**
     * Tells whether this daemon may spend an account's share.
     *
     * @param account   the account
     * @param nowMillis the present time
     * @return whether it may
     */
    public boolean isReady(AccountId account, long nowMillis) {
        return usable(account, nowMillis) != null;
    }

    /**
     * Finds a share that may be spent now.
     *
     * @param account   the account
     * @param nowMillis the present time
     * @return the share, or null
     */
    private HomeShare usable(AccountId account, long nowMillis) {
        boolean believes = view != null && nowMillis < view.leaseEndMillis();
        return believes ? shares.get(account) : null;
    }

    /**
     * Tells why there is no share to spend.
     *
     * @param account the account
     * @param id      the name of the wish
     * @return the answer
     */
    private Admission refusal(AccountId account, TransferId id) {
        boolean home = view != null && homesOf(account).contains(view.self());
        return Admission.refused(home ? AdmissionKind.NOT_READY : AdmissionKind.NOT_HOME, id, 0);
    }
}
