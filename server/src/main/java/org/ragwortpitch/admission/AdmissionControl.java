package org.ragwortpitch.admission;

import com.fasterxml.uuid.Generators;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.HandoverWindow;
import org.ragwortpitch.limit.LimitView;
import org.ragwortpitch.limit.Limits;
import org.ragwortpitch.limit.Surrender;

/**
 * Admits requests. Safe for use by many threads.
 */
public final class AdmissionControl {

    /**
     * How long a borrower may spend a loan, in milliseconds of its own clock since it asked.
     */
    public static final long BORROW_MILLIS = 1_000;

    /**
     * How long a lender takes a loan to be spendable, in milliseconds of its own clock since it lent. It exceeds what a
     * borrower may use by far more than clocks drift.
     */
    public static final long LOAN_MILLIS = 1_250;

    /**
     * When to try again while a share is not ready, in milliseconds.
     */
    private static final long NOT_READY_RETRY_MILLIS = 500;

    /**
     * The pause before a home is asked again that takes over just now, in milliseconds; an exchange between daemons
     * takes a few.
     */
    private static final long HANDOVER_PAUSE_MILLIS = 25;

    /**
     * The shares of this daemon; its own monitor guards it.
     */
    private final Limits limits;

    /**
     * Whether homes change just now; the monitor of the shares guards it.
     */
    private final HandoverWindow handover = new HandoverWindow();

    /**
     * Counts what was admitted and refused.
     */
    private final AdmissionTally tally = new AdmissionTally();

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * Asks other daemons for allowance.
     */
    private final Lenders lenders;

    /**
     * Makes admission control without any share.
     *
     * @param homeCount how many homes each account has
     * @param clocks    the clocks
     * @param lenders   asks other daemons for allowance
     */
    public AdmissionControl(int homeCount, Clocks clocks, Lenders lenders) {
        this.limits = new Limits(homeCount, LOAN_MILLIS);
        this.clocks = clocks;
        this.lenders = lenders;
    }

    /**
     * Takes control state. Shares that are no longer this daemon's end before this returns.
     *
     * @param snapshot the snapshot
     */
    public void follow(Snapshot snapshot) {
        LimitView view = new LimitView(
                snapshot.self(),
                snapshot.members(),
                snapshot.configuration().accounts(),
                snapshot.changedOffset(),
                snapshot.appliedOffset(),
                snapshot.isMember() ? snapshot.limitEndMillis() : Long.MIN_VALUE);
        List<Surrender> surrendered;
        synchronized (limits) {
            handover.follow(snapshot.changedOffset(), clocks.nowMillis());
            surrendered = limits.update(view, clocks.nowMillis());
        }
        // The heir may have joined by this very snapshot, so that nobody else knows its address yet.
        surrendered.forEach(surrender -> snapshot.members().stream()
                .filter(member -> member.incarnation().equals(surrender.heir()))
                .forEach(heir -> lenders.surrender(heir, surrender)));
    }

    /**
     * Admits a request.
     *
     * @param account the client account
     * @param wish    what it needs, as a bound
     * @return the ticket; fails with {@link RefusedException}
     */
    public CompletionStage<Ticket> admit(AccountRule account, Allowance wish) {
        if (wish.tokens() > account.tokens().burst()) {
            return CompletableFuture.failedFuture(RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the request needs " + wish.tokens() + " tokens of prompt and output, more than the burst of "
                            + account.tokens().burst() + ": lower max_tokens or shorten the prompt"));
        }
        return ask(account.id(), wish, clocks.nowMillis())
                .whenComplete((granted, failure) -> count(account.id(), failure));
    }

    /**
     * Asks this daemon if it is the account's home, else the home.
     *
     * @param firstAskedMillis when the request asked first
     */
    private CompletionStage<Ticket> ask(AccountId account, Allowance wish, long firstAskedMillis) {
        TransferId id = new TransferId(
                Generators.timeBasedEpochRandomGenerator().generate().toString());
        Admission local;
        List<Incarnation> homes;
        synchronized (limits) {
            local = limits.admit(account, id, wish, clocks.nowMillis());
            homes = limits.homesOf(account);
        }
        return switch (local.kind()) {
            case GRANTED -> CompletableFuture.completedFuture(new Ticket(used -> settleHere(account, id, used)));
            case NOT_HOME -> borrow(homes, account, id, wish, firstAskedMillis);
            default -> askAgainOrRefuse(local, account, wish, firstAskedMillis);
        };
    }

    /**
     * Asks again soon if a new home just takes over.
     */
    private CompletionStage<Ticket> askAgainOrRefuse(
            Admission refused, AccountId account, Allowance wish, long firstAskedMillis) {
        boolean again;
        synchronized (limits) {
            again = handover.mayPass(refused.kind(), firstAskedMillis, clocks.nowMillis());
        }
        if (!again) {
            return CompletableFuture.failedFuture(refusal(refused));
        }
        return CompletableFuture.supplyAsync(
                        () -> ask(account, wish, firstAskedMillis),
                        CompletableFuture.delayedExecutor(HANDOVER_PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(ticket -> ticket);
    }

    /**
     * Counts an answer.
     *
     * @param account the client account
     * @param failure why the request was refused; null if it was admitted
     */
    private void count(AccountId account, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null) {
            tally.admitted(account);
        } else if (cause instanceof RefusedException refused && refused.kind() == ErrorKind.OVER_RATE) {
            tally.overRate(account);
        }
    }

    /**
     * Gives access to the counts.
     *
     * @return the counts
     */
    public AdmissionTally tally() {
        return tally;
    }

    /**
     * Admits a request by a loan.
     *
     * @param homes   the account's homes
     * @param account the account
     * @param id      names the loan
     * @param wish    what the request needs
     * @return the ticket; fails with {@link RefusedException}
     */
    private CompletionStage<Ticket> borrow(
            List<Incarnation> homes, AccountId account, TransferId id, Allowance wish, long firstAskedMillis) {
        if (homes.isEmpty()) {
            return CompletableFuture.failedFuture(
                    refusal(new Admission(AdmissionKind.NOT_READY, id, NOT_READY_RETRY_MILLIS)));
        }
        long askedMillis = clocks.nowMillis();
        Incarnation home = homes.get(0);
        return lenders.borrow(home, account, id, wish)
                .toCompletableFuture()
                .orTimeout(BORROW_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> new Admission(AdmissionKind.NOT_READY, id, NOT_READY_RETRY_MILLIS))
                .thenCompose(admission -> {
                    boolean inTime = clocks.nowMillis() - askedMillis < BORROW_MILLIS;
                    if (admission.kind() == AdmissionKind.GRANTED && inTime) {
                        return CompletableFuture.completedFuture(
                                new Ticket(used -> lenders.settle(home, account, id, used)));
                    }
                    return askAgainOrRefuse(admission, account, wish, firstAskedMillis);
                });
    }

    /**
     * Lends to another daemon.
     *
     * @param account the account
     * @param id      names the loan
     * @param wish    the allowance
     * @return the answer
     */
    public Admission lend(AccountId account, TransferId id, Allowance wish) {
        synchronized (limits) {
            return limits.lend(account, id, wish, clocks.nowMillis());
        }
    }

    /**
     * Settles a grant of this daemon, or a loan to another one.
     *
     * @param account the account
     * @param id      its name
     * @param used    what was used
     */
    public void settleHere(AccountId account, TransferId id, Allowance used) {
        synchronized (limits) {
            limits.settle(account, id, used, clocks.nowMillis());
        }
    }

    /**
     * Takes over a share.
     *
     * @param surrender the former home's word
     */
    public void inherit(Surrender surrender) {
        synchronized (limits) {
            limits.inherit(surrender, clocks.nowMillis());
        }
    }

    /**
     * Tells the homes of an account.
     *
     * @param account the account
     * @return the homes, the first being the one to prefer
     */
    public List<Incarnation> homesOf(AccountId account) {
        synchronized (limits) {
            return limits.homesOf(account);
        }
    }

    /**
     * Makes the refusal of a request that was not admitted.
     *
     * @param admission the answer that was not a grant
     * @return the refusal
     */
    private static RefusedException refusal(Admission admission) {
        if (admission.kind() == AdmissionKind.OVER_RATE) {
            return RefusedException.notRunRetryAfter(
                    ErrorKind.OVER_RATE,
                    Math.max(1, admission.retryAfterMillis()),
                    "the client account is over its rate: try again after the stated time");
        }
        return RefusedException.notRunRetryAfter(
                ErrorKind.UNAVAILABLE,
                NOT_READY_RETRY_MILLIS,
                "the client account's limits cannot be checked now: try again after the stated time");
    }
}
