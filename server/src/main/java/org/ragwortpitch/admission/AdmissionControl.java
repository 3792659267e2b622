package org.ragwortpitch.admission;

import com.fasterxml.uuid.Generators;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.AccountQuotas;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.HandoverWindow;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaContext;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Admits requests against the quota of their client account: locally if this daemon owns the account's quota, else with
 * quota borrowed from an owner. Thread-safe.
 */
public final class AdmissionControl {

    /**
     * How long a borrower may use borrowed quota, in milliseconds of its own clock since it requested it.
     */
    public static final long BORROWED_QUOTA_MILLIS = 1_000;

    /**
     * How long an owner regards lent quota as still usable, in milliseconds of its own clock since it lent. The margin
     * over {@link #BORROWED_QUOTA_MILLIS} is far larger than the drift between clocks in that time.
     */
    public static final long LENT_QUOTA_MILLIS = 1_250;

    /**
     * When the caller should retry while the account's quota cannot be checked, in milliseconds.
     */
    private static final long NOT_READY_RETRY_MILLIS = 500;

    /**
     * The delay before asking again while the quota passes to a new owner, in milliseconds; an exchange between daemons
     * takes a few milliseconds.
     */
    private static final long HANDOVER_RETRY_DELAY_MILLIS = 25;

    /**
     * The quotas that this daemon owns; guarded by its own monitor.
     */
    private final AccountQuotas quotas;

    /**
     * Detects whether owners are changing; guarded by the monitor of {@code quotas}.
     */
    private final HandoverWindow handoverWindow = new HandoverWindow();

    private final AdmissionCounters counters = new AdmissionCounters();

    private final Clocks clocks;

    private final QuotaLenders lenders;

    /**
     * Creates admission control that owns no quota yet.
     *
     * @param ownerCount the number of owners of each account's quota
     * @param clocks     the clocks
     * @param lenders    the other daemons, as owners and successors
     */
    public AdmissionControl(int ownerCount, Clocks clocks, QuotaLenders lenders) {
        this.quotas = new AccountQuotas(ownerCount, LENT_QUOTA_MILLIS);
        this.clocks = clocks;
        this.lenders = lenders;
    }

    /**
     * Applies a snapshot of the control state. When this returns, this daemon no longer spends quotas that it stopped
     * owning.
     */
    public void follow(Snapshot snapshot) {
        QuotaContext quotaContext = new QuotaContext(
                snapshot.self(),
                snapshot.members(),
                snapshot.configuration().accounts(),
                snapshot.changedOffset(),
                snapshot.appliedOffset(),
                snapshot.isMember() ? snapshot.quotaEndMillis() : Long.MIN_VALUE);
        List<QuotaHandover> handovers;
        synchronized (quotas) {
            handoverWindow.update(snapshot.changedOffset(), clocks.nowMillis());
            handovers = quotas.update(quotaContext, clocks.nowMillis());
        }
        // The successor may have joined in this very snapshot, so its address is known only from the snapshot.
        handovers.forEach(handover -> snapshot.members().stream()
                .filter(member -> member.incarnation().equals(handover.successor()))
                .forEach(successor -> lenders.handOver(successor, handover)));
    }

    /**
     * Admits a request.
     *
     * @param requested the upper bound of the quota that it may use
     * @return a reservation to settle; fails with {@link RefusedException}
     */
    public CompletionStage<QuotaReservation> admit(AccountRule account, QuotaAmount requested) {
        if (requested.tokens() > account.tokens().burst()) {
            return CompletableFuture.failedFuture(RefusedException.notRun(
                    ErrorKind.BAD_REQUEST,
                    "the request needs " + requested.tokens() + " tokens of prompt and output, more than the burst of "
                            + account.tokens().burst() + ": lower max_tokens or shorten the prompt"));
        }
        return admitOrBorrow(account.id(), requested, clocks.nowMillis())
                .whenComplete((granted, failure) -> count(account.id(), failure));
    }

    /**
     * Admits a request locally if this daemon owns the account's quota, else borrows from the first owner.
     *
     * @param firstAskedMillis when the request was first tried, in milliseconds of the monotonic clock
     */
    private CompletionStage<QuotaReservation> admitOrBorrow(
            AccountId account, QuotaAmount requested, long firstAskedMillis) {
        TransferId id = new TransferId(
                Generators.timeBasedEpochRandomGenerator().generate().toString());
        Admission local;
        List<Incarnation> owners;
        synchronized (quotas) {
            local = quotas.admit(account, id, requested, clocks.nowMillis());
            owners = quotas.ownersOf(account);
        }
        return switch (local.kind()) {
            case GRANTED -> CompletableFuture.completedFuture(
                    new QuotaReservation(used -> settleLocally(account, id, used)));
            case NOT_HOME -> borrow(owners, account, id, requested, firstAskedMillis);
            default -> retryOrRefuse(local, account, requested, firstAskedMillis);
        };
    }

    /**
     * Tries again after a short delay if the quota is passing to a new owner, else fails with the refusal.
     */
    private CompletionStage<QuotaReservation> retryOrRefuse(
            Admission refused, AccountId account, QuotaAmount requested, long firstAskedMillis) {
        boolean retry;
        synchronized (quotas) {
            retry = handoverWindow.isRetryable(refused.kind(), firstAskedMillis, clocks.nowMillis());
        }
        if (!retry) {
            return CompletableFuture.failedFuture(refusal(refused));
        }
        return CompletableFuture.supplyAsync(
                        () -> admitOrBorrow(account, requested, firstAskedMillis),
                        CompletableFuture.delayedExecutor(HANDOVER_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(reservation -> reservation);
    }

    /**
     * Counts an admitted request, or one refused for its rate; other failures are not counted.
     *
     * @param failure why the request was refused; null if it was admitted
     */
    private void count(AccountId account, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null) {
            counters.admitted(account);
        } else if (cause instanceof RefusedException refused && refused.kind() == ErrorKind.OVER_RATE) {
            counters.overRate(account);
        }
    }

    /**
     * Returns the counters of admitted and refused requests.
     */
    public AdmissionCounters counters() {
        return counters;
    }

    /**
     * Admits a request with quota borrowed from the first owner. A grant that arrives too late to be used counts as a
     * refusal.
     *
     * @param id identifies the borrowed quota
     * @return the reservation; fails with {@link RefusedException}
     */
    private CompletionStage<QuotaReservation> borrow(
            List<Incarnation> owners, AccountId account, TransferId id, QuotaAmount requested, long firstAskedMillis) {
        if (owners.isEmpty()) {
            return CompletableFuture.failedFuture(
                    refusal(new Admission(AdmissionKind.NOT_READY, id, NOT_READY_RETRY_MILLIS)));
        }
        long askedMillis = clocks.nowMillis();
        Incarnation owner = owners.get(0);
        return lenders.borrow(owner, account, id, requested)
                .toCompletableFuture()
                .orTimeout(BORROWED_QUOTA_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> new Admission(AdmissionKind.NOT_READY, id, NOT_READY_RETRY_MILLIS))
                .thenCompose(admission -> {
                    boolean inTime = clocks.nowMillis() - askedMillis < BORROWED_QUOTA_MILLIS;
                    if (admission.kind() == AdmissionKind.GRANTED && inTime) {
                        return CompletableFuture.completedFuture(
                                new QuotaReservation(used -> lenders.settle(owner, account, id, used)));
                    }
                    return retryOrRefuse(admission, account, requested, firstAskedMillis);
                });
    }

    /**
     * Lends quota to another daemon.
     *
     * @param id        identifies the lent quota
     * @param requested the quota that is requested
     * @return the grant or the refusal
     */
    public Admission lend(AccountId account, TransferId id, QuotaAmount requested) {
        synchronized (quotas) {
            return quotas.lend(account, id, requested, clocks.nowMillis());
        }
    }

    /**
     * Settles quota that this daemon granted, locally or to another daemon. What was not used is returned.
     *
     * @param id   identifies the granted quota
     * @param used the quota that was used
     */
    public void settleLocally(AccountId account, TransferId id, QuotaAmount used) {
        synchronized (quotas) {
            quotas.settle(account, id, used, clocks.nowMillis());
        }
    }

    /**
     * Takes over an account's quota from its former owner.
     *
     * @param handover the former owner's handover
     */
    public void acceptHandover(QuotaHandover handover) {
        synchronized (quotas) {
            quotas.acceptHandover(handover, clocks.nowMillis());
        }
    }

    /**
     * Returns the owners of an account's quota, the preferred one first.
     */
    public List<Incarnation> ownersOf(AccountId account) {
        synchronized (quotas) {
            return quotas.ownersOf(account);
        }
    }

    /**
     * Returns the refusal for an admission that was not granted.
     */
    private static RefusedException refusal(Admission admission) {
        if (admission.kind() == AdmissionKind.OVER_RATE) {
            return RefusedException.notRunRetryAfter(
                    ErrorKind.OVER_RATE,
                    Math.max(1, admission.retryAfterMillis()),
                    "the client account is over its rate limit: try again after the stated time");
        }
        return RefusedException.notRunRetryAfter(
                ErrorKind.UNAVAILABLE,
                NOT_READY_RETRY_MILLIS,
                "the client account's quota cannot be checked now: try again after the stated time");
    }
}
