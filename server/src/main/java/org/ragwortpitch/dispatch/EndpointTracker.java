package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.routing.EndpointState;
import org.ragwortpitch.routing.Speed;

/**
 * What a daemon knows of an endpoint. Guarded by its dispatcher.
 */
final class EndpointTracker {

    /**
     * How long an endpoint is left alone after its first failure in a row, in milliseconds.
     */
    private static final long FIRST_PAUSE_MILLIS = 250;

    /**
     * How long an endpoint is left alone at most, in milliseconds.
     */
    private static final long MAX_PAUSE_MILLIS = 5_000;

    /**
     * The endpoint's rule.
     */
    private EndpointRule rule;

    /**
     * The requests under way from here.
     */
    private int ownRequests;

    /**
     * The requests among them that are suspected of crashing endpoints.
     */
    private int suspects;

    /**
     * The prompt tokens sent from here and not read yet.
     */
    private long ownPrefillTokens;

    /**
     * The requests that were under way from here when the last report was asked for.
     */
    private int ownRequestsAtReport;

    /**
     * The last load report; null before the first.
     */
    private LoadReport report;

    /**
     * When that report was asked for.
     */
    private long reportedAtMillis;

    /**
     * How many times it failed in a row.
     */
    private int failures;

    /**
     * Until when it is left alone.
     */
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * Whether the platform has announced to take it back, or its role changes.
     */
    private boolean withdrawn;

    /**
     * Makes a tracker.
     *
     * @param rule the endpoint's rule
     */
    EndpointTracker(EndpointRule rule) {
        this.rule = rule;
    }

    /**
     * Takes a changed rule.
     *
     * @param changed the rule
     */
    void follow(EndpointRule changed) {
        rule = changed;
    }

    /**
     * Notes that a request is sent.
     *
     * @param prefillTokens its prompt tokens that are not cached
     * @param suspect       whether it is suspected of crashing endpoints
     */
    void sent(long prefillTokens, boolean suspect) {
        ownRequests++;
        suspects += suspect ? 1 : 0;
        ownPrefillTokens += prefillTokens;
    }

    /**
     * Notes that prompt tokens were read.
     *
     * @param prefillTokens the tokens
     */
    void prefilled(long prefillTokens) {
        ownPrefillTokens = Math.max(0, ownPrefillTokens - prefillTokens);
    }

    /**
     * Notes that a request has ended.
     *
     * @param failed    whether the endpoint failed it
     * @param suspect   whether it was suspected of crashing endpoints
     * @param nowMillis the present time, of the monotonic clock
     */
    void released(boolean failed, boolean suspect, long nowMillis) {
        ownRequests--;
        suspects -= suspect ? 1 : 0;
        if (failed) {
            long pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 10));
            pausedUntilMillis = nowMillis + pauseMillis;
            failures++;
        } else {
            failures = 0;
        }
    }

    /**
     * Notes that a report is asked for.
     */
    void reportAsked() {
        ownRequestsAtReport = ownRequests;
    }

    /**
     * Takes a load report.
     *
     * @param latest      the report
     * @param askedMillis when it was asked for, of the monotonic clock
     */
    void reported(LoadReport latest, long askedMillis) {
        report = latest;
        reportedAtMillis = askedMillis;
        withdrawn = latest.role().equals("changing");
    }

    /**
     * Tells whether another request may be sent.
     *
     * @param concurrency how many requests the endpoint takes at once
     * @param daemons     how many daemons share it
     * @param nowMillis   the present time, of the monotonic clock
     * @return whether one may
     */
    boolean hasRoom(int concurrency, int daemons, long nowMillis) {
        if (withdrawn || nowMillis < pausedUntilMillis) {
            return false;
        }
        int floor = Math.max(1, concurrency / Math.max(1, daemons));
        return ownRequests < floor || ownRequests + otherRequests() < concurrency;
    }

    /**
     * Tells whether a suspect is under way from here.
     *
     * @return whether one is
     */
    boolean hasSuspect() {
        return suspects > 0;
    }

    /**
     * Estimates the requests of other daemons.
     *
     * @return the count as of the last report
     */
    private int otherRequests() {
        return report == null ? 0 : Math.max(0, report.running() + report.queued() - ownRequestsAtReport);
    }

    /**
     * Tells the endpoint's state for a request.
     *
     * @param cachedTokens the tokens of its prompt that the endpoint is believed to have cached
     * @param nowMillis    the present time, of the monotonic clock
     * @return the state
     */
    EndpointState state(long cachedTokens, long nowMillis) {
        long otherTokens = report == null ? 0 : Math.max(0, report.queuedTokens() - ownPrefillTokens);
        return new EndpointState(
                rule.id(),
                rule.failureDomain(),
                role(),
                ownRequests,
                ownPrefillTokens,
                otherRequests(),
                otherTokens,
                report == null ? 0 : nowMillis - reportedAtMillis,
                cachedTokens,
                Speed.ASSUMED);
    }

    /**
     * Tells the endpoint's role.
     *
     * @return the role as reported, or as the rules say
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

    /**
     * Tells the endpoint's rule.
     *
     * @return the rule
     */
    EndpointRule rule() {
        return rule;
    }

    /**
     * Counts the requests under way from here.
     *
     * @return the count
     */
    int ownRequests() {
        return ownRequests;
    }

    /**
     * Tells the last load report.
     *
     * @return the report, or null before the first
     */
    LoadReport report() {
        return report;
    }
}
