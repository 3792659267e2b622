package org.ragwortpitch.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.identity.TransferId;

/**
 * A home's share of one account's limits, with what was granted and lent from it. Confined to one thread.
 */
final class HomeShare {

    /**
     * How long after its end a loan may still be settled, in milliseconds.
     */
    private static final long SETTLE_MILLIS = 600_000;

    /**
     * The account's rule that the share follows.
     */
    private final AccountRule rule;

    /**
     * The tokens.
     */
    private final Bucket tokens;

    /**
     * The requests.
     */
    private final Bucket requests;

    /**
     * What was granted and is not settled, by name.
     */
    private final Map<TransferId, Grant> grants = new HashMap<>();

    /**
     * What was lent and is not settled, by name.
     */
    private final Map<TransferId, Loan> loans = new HashMap<>();

    /**
     * Makes an empty share.
     *
     * @param rule      the account's rule
     * @param homes     how many homes share the limits
     * @param nowMillis the present time
     */
    HomeShare(AccountRule rule, int homes, long nowMillis) {
        this.rule = rule;
        this.tokens = new Bucket(rule.tokens().perSecond(), rule.tokens().burst(), homes, nowMillis);
        this.requests = new Bucket(rule.requests().perSecond(), rule.requests().burst(), homes, nowMillis);
    }

    /**
     * Tells the rule that the share follows.
     *
     * @return the rule
     */
    AccountRule rule() {
        return rule;
    }

    /**
     * Grants an allowance to a request on this daemon.
     *
     * @param id        names the grant
     * @param wish      the allowance
     * @param nowMillis the present time
     * @return the answer
     */
    Admission grant(TransferId id, Allowance wish, long nowMillis) {
        releaseEnded(nowMillis);
        if (grants.containsKey(id) || loans.containsKey(id)) {
            return Admission.refused(AdmissionKind.NOT_READY, id, 0);
        }
        Optional<Reservation> tokenPart = tokens.reserve(wish.tokens(), nowMillis);
        if (tokenPart.isEmpty()) {
            return Admission.refused(AdmissionKind.OVER_RATE, id, tokens.millisUntil(wish.tokens(), nowMillis));
        }
        Optional<Reservation> requestPart = requests.reserve(wish.requests(), nowMillis);
        if (requestPart.isEmpty()) {
            tokens.settle(tokenPart.get(), 0, nowMillis);
            return Admission.refused(AdmissionKind.OVER_RATE, id, requests.millisUntil(wish.requests(), nowMillis));
        }
        grants.put(id, new Grant(tokenPart.get(), requestPart.get()));
        return new Admission(AdmissionKind.GRANTED, id, 0);
    }

    /**
     * Lends an allowance to a request on another daemon. Until the loan is spent or void, its amount counts against
     * the burst as if it had not been taken, since it may be spent at any moment until then.
     *
     * @param id        names the loan
     * @param wish      the allowance
     * @param endMillis when the borrower can no longer spend it
     * @param nowMillis the present time
     * @return the answer
     */
    Admission lend(TransferId id, Allowance wish, long endMillis, long nowMillis) {
        Admission admission = grant(id, wish, nowMillis);
        if (admission.kind() == AdmissionKind.GRANTED) {
            Grant grant = grants.remove(id);
            hold(grant);
            loans.put(id, new Loan(grant, endMillis, true));
        }
        return admission;
    }

    /**
     * Settles a grant or a loan.
     *
     * @param id        its name
     * @param used      what was used
     * @param nowMillis the present time
     */
    void settle(TransferId id, Allowance used, long nowMillis) {
        releaseEnded(nowMillis);
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

    /**
     * Tells what is lent and may still be spent.
     *
     * @param nowMillis the present time
     * @return the sum
     */
    Allowance lent(long nowMillis) {
        releaseEnded(nowMillis);
        long lentTokens = 0;
        long lentRequests = 0;
        for (Loan loan : loans.values()) {
            lentTokens += loan.held() ? loan.grant().tokens().tokens() : 0;
            lentRequests += loan.held() ? loan.grant().requests().tokens() : 0;
        }
        return new Allowance(lentTokens, lentRequests);
    }

    /**
     * Keeps room for what a former home has lent.
     *
     * @param id        names the loans
     * @param lent      the sum of the loans
     * @param endMillis when they can no longer be spent
     */
    void holdFor(TransferId id, Allowance lent, long endMillis) {
        Grant grant = new Grant(new Reservation(lent.tokens()), new Reservation(lent.requests()));
        hold(grant);
        loans.put(id, new Loan(grant, endMillis, true));
    }

    /**
     * Tells the tokens that are there.
     *
     * @param nowMillis the present time
     * @return the level, in tokens
     */
    long levelTokens(long nowMillis) {
        releaseEnded(nowMillis);
        return tokens.levelTokens(nowMillis);
    }

    /**
     * Tells the requests that are there.
     *
     * @param nowMillis the present time
     * @return the level, in requests
     */
    long levelRequests(long nowMillis) {
        return requests.levelTokens(nowMillis);
    }

    /**
     * Takes over what a former home has given up.
     *
     * @param level     the amounts
     * @param nowMillis the present time
     */
    void inherit(Allowance level, long nowMillis) {
        tokens.inherit(level.tokens(), nowMillis);
        requests.inherit(level.requests(), nowMillis);
    }

    /**
     * Frees the room kept for loans that can no longer be spent, and forgets those that nobody will settle.
     *
     * @param nowMillis the present time
     */
    private void releaseEnded(long nowMillis) {
        loans.values().removeIf(loan -> nowMillis >= loan.endMillis() + SETTLE_MILLIS);
        loans.replaceAll((id, loan) -> {
            if (!loan.held() || nowMillis < loan.endMillis()) {
                return loan;
            }
            release(loan.grant(), nowMillis);
            return loan.withoutHold();
        });
    }

    /**
     * Keeps room for a loan.
     *
     * @param grant the loan
     */
    private void hold(Grant grant) {
        tokens.hold(grant.tokens());
        requests.hold(grant.requests());
    }

    /**
     * Frees the room kept for a loan.
     *
     * @param grant     the loan
     * @param nowMillis the present time
     */
    private void release(Grant grant, long nowMillis) {
        tokens.release(grant.tokens(), nowMillis);
        requests.release(grant.requests(), nowMillis);
    }
}
