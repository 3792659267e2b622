package org.ragwortpitch.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.TransferId;

/**
 * An owner's share of one account's quota, with the unsettled grants and loans from it. Confined to one thread.
 */
final class OwnedShare {

    /** How long after its expiry a loan can still be settled, in milliseconds. */
    private static final long SETTLE_MILLIS = 600_000;

    private final AccountRule rule;
    private final TokenBucket tokens;
    private final TokenBucket requests;

    /** The unsettled grants. */
    private final Map<TransferId, Grant> grants = new HashMap<>();

    /** The unsettled loans. */
    private final Map<TransferId, Loan> loans = new HashMap<>();

    /**
     * Creates an empty share.
     *
     * @param owners the number of owners that the account's quota is split over
     */
    OwnedShare(AccountRule rule, int owners, long nowMillis) {
        this.rule = rule;
        this.tokens = new TokenBucket(rule.tokens().perSecond(), rule.tokens().burst(), owners, nowMillis);
        this.requests =
                new TokenBucket(rule.requests().perSecond(), rule.requests().burst(), owners, nowMillis);
    }

    AccountRule rule() {
        return rule;
    }

    /**
     * Reserves quota for a request on this daemon.
     *
     * @param id identifies the grant when it is settled
     */
    Admission grant(TransferId id, QuotaAmount amount, long nowMillis) {
        releaseExpired(nowMillis);
        if (grants.containsKey(id) || loans.containsKey(id)) {
            return Admission.refused(AdmissionKind.NOT_READY, id, 0);
        }
        Optional<Reservation> tokenReservation = tokens.reserve(amount.tokens(), nowMillis);
        if (tokenReservation.isEmpty()) {
            return Admission.refused(AdmissionKind.OVER_RATE, id, tokens.millisUntil(amount.tokens(), nowMillis));
        }
        Optional<Reservation> requestReservation = requests.reserve(amount.requests(), nowMillis);
        if (requestReservation.isEmpty()) {
            tokens.settle(tokenReservation.get(), 0, nowMillis);
            return Admission.refused(AdmissionKind.OVER_RATE, id, requests.millisUntil(amount.requests(), nowMillis));
        }
        grants.put(id, new Grant(tokenReservation.get(), requestReservation.get()));
        return new Admission(AdmissionKind.GRANTED, id, 0);
    }

    /**
     * Lends quota to a request on another daemon. Until the loan is settled or expires, its amount counts against the
     * burst as if it were still in the bucket, because the borrower may spend it at any moment until then.
     *
     * @param id        identifies the loan when it is settled
     * @param endMillis when the borrower can no longer spend it
     */
    Admission lend(TransferId id, QuotaAmount amount, long endMillis, long nowMillis) {
        Admission admission = grant(id, amount, nowMillis);
        if (admission.kind() == AdmissionKind.GRANTED) {
            Grant grant = grants.remove(id);
            hold(grant);
            loans.put(id, new Loan(grant, endMillis, true));
        }
        return admission;
    }

    /**
     * Settles a grant or a loan. Does nothing if there is neither under that id.
     *
     * @param used the part that was used
     */
    void settle(TransferId id, QuotaAmount used, long nowMillis) {
        releaseExpired(nowMillis);
        Loan loan = loans.remove(id);
        if (loan != null && loan.held()) {
            release(loan.grant(), nowMillis);
        }
        Grant grant = loan == null ? grants.remove(id) : loan.grant();
        if (grant != null) {
            tokens.settle(grant.tokens(), used.tokens(), nowMillis);
            requests.settle(grant.requests(), used.requests(), nowMillis);
        }
    }

    /** Returns the sum of the loans that the borrowers can still spend. */
    QuotaAmount lent(long nowMillis) {
        releaseExpired(nowMillis);
        long lentTokens = 0;
        long lentRequests = 0;
        for (Loan loan : loans.values()) {
            lentTokens += loan.held() ? loan.grant().tokens().tokens() : 0;
            lentRequests += loan.held() ? loan.grant().requests().tokens() : 0;
        }
        return new QuotaAmount(lentTokens, lentRequests);
    }

    /**
     * Sets capacity aside for loans made by a previous owner.
     *
     * @param id        identifies the loans together
     * @param lent      the sum of the loans
     * @param endMillis when the borrowers can no longer spend them
     */
    void holdForLent(TransferId id, QuotaAmount lent, long endMillis) {
        Grant grant = new Grant(new Reservation(lent.tokens()), new Reservation(lent.requests()));
        hold(grant);
        loans.put(id, new Loan(grant, endMillis, true));
    }

    long levelTokens(long nowMillis) {
        releaseExpired(nowMillis);
        return tokens.levelTokens(nowMillis);
    }

    long levelRequests(long nowMillis) {
        return requests.levelTokens(nowMillis);
    }

    /** Adds the levels handed over by a previous owner, up to the free capacity. */
    void credit(QuotaAmount level, long nowMillis) {
        tokens.credit(level.tokens(), nowMillis);
        requests.credit(level.requests(), nowMillis);
    }

    /** Frees the capacity set aside for expired loans, and drops loans that can no longer be settled. */
    private void releaseExpired(long nowMillis) {
        loans.values().removeIf(loan -> nowMillis >= loan.endMillis() + SETTLE_MILLIS);
        loans.replaceAll((id, loan) -> {
            if (!loan.held() || nowMillis < loan.endMillis()) {
                return loan;
            }
            release(loan.grant(), nowMillis);
            return loan.withoutHold();
        });
    }

    private void hold(Grant grant) {
        tokens.hold(grant.tokens());
        requests.hold(grant.requests());
    }

    private void release(Grant grant, long nowMillis) {
        tokens.release(grant.tokens(), nowMillis);
        requests.release(grant.requests(), nowMillis);
    }
}
