package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.routing.EndpointCandidate;
import org.ragwortpitch.routing.EndpointSpeed;

/**
 * Tracks the load and the failures of an endpoint as seen by one daemon. Guarded by the dispatcher's monitor.
 */
final class EndpointTracker {

    /**
     * The backoff after the first of consecutive failures, in milliseconds; it doubles with each further failure.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /**
     * The maximum backoff, in milliseconds.
     */
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    private EndpointRule rule;

    /**
     * This daemon's requests in progress there.
     */
    private int ownRequests;

    /**
     * Those of the own requests that are suspected poison requests.
     */
    private int suspectRequests;

    /**
     * The prompt tokens that this daemon sent and that are not prefilled yet.
     */
    private long ownPrefillTokens;

    /**
     * The own requests in progress when the last report was requested, which that report therefore includes.
     */
    private int ownRequestsAtReport;

    /**
     * The last load report; null before the first.
     */
    private LoadReport report;

    /**
     * When that report was requested, in milliseconds of the monotonic clock.
     */
    private long reportedAtMillis;

    /**
     * The number of consecutive failures.
     */
    private int failures;

    private long backoffUntilMillis = Long.MIN_VALUE;

    /**
     * Whether the last load report said that the endpoint is changing its role.
     */
    private boolean changingRole;

    EndpointTracker(EndpointRule rule) {
        this.rule = rule;
    }

    void updateRule(EndpointRule changed) {
        rule = changed;
    }

    /**
     * Records that a request is sent.
     *
     * @param prefillTokens its prompt tokens; those that may be cached are included
     * @param suspect       whether it is suspected of being a poison request
     */
    void requestStarted(long prefillTokens, boolean suspect) {
        ownRequests++;
        suspectRequests += suspect ? 1 : 0;
        ownPrefillTokens += prefillTokens;
    }

    /**
     * Records that prompt tokens were prefilled.
     */
    void prefilled(long prefillTokens) {
        ownPrefillTokens = Math.max(0, ownPrefillTokens - prefillTokens);
    }

    /**
     * Records that a request has ended. A failure starts an exponential backoff, and a success resets the count of
     * consecutive failures.
     *
     * @param nowMillis the time of the monotonic clock
     */
    void requestEnded(boolean failed, boolean suspect, long nowMillis) {
        ownRequests--;
        suspectRequests -= suspect ? 1 : 0;
        if (failed) {
            long backoffMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, 10));
            backoffUntilMillis = nowMillis + backoffMillis;
            failures++;
        } else {
            failures = 0;
        }
    }

    /**
     * Records that a load report is being requested.
     */
    void reportRequested() {
        ownRequestsAtReport = ownRequests;
    }

    /**
     * Applies a load report.
     *
     * @param requestedAtMillis when it was requested, in milliseconds of the monotonic clock
     */
    void reported(LoadReport latest, long requestedAtMillis) {
        report = latest;
        reportedAtMillis = requestedAtMillis;
        changingRole = latest.role().equals("changing");
    }

    /**
     * Returns whether the endpoint accepts another request. A daemon may always use its equal share of the concurrency
     * limit, and more as long as the estimated total of all daemons stays below the limit.
     *
     * @param concurrency the number of requests that the endpoint runs at once
     * @param daemons     the number of daemons that share it
     * @param nowMillis   the time of the monotonic clock
     */
    boolean hasFreeSlot(int concurrency, int daemons, long nowMillis) {
        if (changingRole || nowMillis < backoffUntilMillis) {
            return false;
        }
        int equalShare = Math.max(1, concurrency / Math.max(1, daemons));
        return ownRequests < equalShare || ownRequests + otherRequests() < concurrency;
    }

    boolean hasSuspectRequest() {
        return suspectRequests > 0;
    }

    /**
     * Returns the estimated requests of other daemons, as of the last report.
     */
    private int otherRequests() {
        return report == null ? 0 : Math.max(0, report.running() + report.queued() - ownRequestsAtReport);
    }

    /**
     * Returns the endpoint's state as a candidate for a request.
     *
     * @param cachedTokens the prompt tokens that the endpoint is estimated to have in its prefix cache
     * @param nowMillis    the time of the monotonic clock
     */
    EndpointCandidate candidate(long cachedTokens, long nowMillis) {
        long otherTokens = report == null ? 0 : Math.max(0, report.queuedTokens() - ownPrefillTokens);
        return new EndpointCandidate(
                rule.id(),
                rule.failureDomain(),
                role(),
                ownRequests,
                ownPrefillTokens,
                otherRequests(),
                otherTokens,
                report == null ? 0 : nowMillis - reportedAtMillis,
                cachedTokens,
                EndpointSpeed.ASSUMED);
    }

    /**
     * Returns the last reported role, or that of the rule before the first report and during a change.
     */
    private EndpointRole role() {
        if (report == null) {
            return rule.role();
        }
        return switch (report.role()) {
            case "prefill" -> EndpointRole.PREFILL;
            case "decode" -> EndpointRole.DECODE;
            case "mixed" -> EndpointRole.MIXED;
            default -> rule.role();
        };
    }

    EndpointRule rule() {
        return rule;
    }

    /**
     * Returns the number of this daemon's requests in progress there.
     */
    int ownRequests() {
        return ownRequests;
    }

    /**
     * Returns the last load report, or null before the first.
     */
    LoadReport report() {
        return report;
    }
}
