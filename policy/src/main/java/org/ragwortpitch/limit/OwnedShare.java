package org.ragwortpitch.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.TransferId;

/**
 * An owner's share of one account's quota, with the unsettled grants and borrowed quota from it. Confined to one
 * thread.
 */
final class OwnedShare {

    /** How long after its expiry borrowed quota can still be settled, in milliseconds. */
    private static final long SETTLE_MILLIS = 600_000;

    private final AccountRule rule;
    private final TokenBucket tokens;
    private final TokenBucket requests;

    /** The unsettled grants. */
    private final Map<TransferId, Grant> grants = new HashMap<>();

    /** The unsettled borrowed quota, by transfer. */
    private final Map<TransferId, BorrowedQuota> borrowedQuotas = new HashMap<>();

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
        if (grants.containsKey(id) || borrowedQuotas.containsKey(id)) {
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
     * Lends quota to a request on another daemon. Until the borrowed quota is settled or expires, its amount counts
     * against the burst as if it were still in the bucket, because the borrower may spend it at any moment until then.
     *
     * @param id        identifies the borrowed quota when it is settled
     * @param endMillis when the borrower can no longer spend it
     */
    Admission lend(TransferId id, QuotaAmount amount, long endMillis, long nowMillis) {
        Admission admission = grant(id, amount, nowMillis);
        if (admission.kind() == AdmissionKind.GRANTED) {
            Grant grant = grants.remove(id);
            hold(grant);
            borrowedQuotas.put(id, new BorrowedQuota(grant, endMillis, true));
        }
        return admission;
    }

    /**
     * Settles a grant or borrowed quota. Does nothing if there is neither under that id.
     *
     * @param used the amount that was used
     */
    void settle(TransferId id, QuotaAmount used, long nowMillis) {
        releaseExpired(nowMillis);
        BorrowedQuota borrowed = borrowedQuotas.remove(id);
        if (borrowed != null && borrowed.held()) {
            release(borrowed.grant(), nowMillis);
        }
        Grant grant = borrowed == null ? grants.remove(id) : borrowed.grant();
        if (grant != null) {
            tokens.settle(grant.tokens(), used.tokens(), nowMillis);
            requests.settle(grant.requests(), used.requests(), nowMillis);
        }
    }

    /** Returns the sum of the borrowed quota that the borrowers can still spend. */
    QuotaAmount lent(long nowMillis) {
        releaseExpired(nowMillis);
        long lentTokens = 0;
        long lentRequests = 0;
        for (BorrowedQuota borrowed : borrowedQuotas.values()) {
            lentTokens += borrowed.held() ? borrowed.grant().tokens().tokens() : 0;
            lentRequests += borrowed.held() ? borrowed.grant().requests().tokens() : 0;
        }
        return new QuotaAmount(lentTokens, lentRequests);
    }

    /**
     * Sets capacity aside for quota lent by a previous owner.
     *
     * @param id        identifies all of it together
     * @param lent      the sum of the quota lent
     * @param endMillis when the borrowers can no longer spend it
     */
    void holdForLent(TransferId id, QuotaAmount lent, long endMillis) {
        Grant grant = new Grant(new Reservation(lent.tokens()), new Reservation(lent.requests()));
        hold(grant);
        borrowedQuotas.put(id, new BorrowedQuota(grant, endMillis, true));
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

    /** Frees the capacity set aside for expired borrowed quota, and drops entries that can no longer be settled. */
    private void releaseExpired(long nowMillis) {
        borrowedQuotas.values().removeIf(borrowed -> nowMillis >= borrowed.endMillis() + SETTLE_MILLIS);
        borrowedQuotas.replaceAll((id, borrowed) -> {
            if (!borrowed.held() || nowMillis < borrowed.endMillis()) {
                return borrowed;
            }
            release(borrowed.grant(), nowMillis);
            return borrowed.withoutHold();
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
