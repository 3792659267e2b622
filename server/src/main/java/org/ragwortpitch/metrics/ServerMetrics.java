package org.ragwortpitch.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.identity.AccountId;

/**
 * The metrics of a daemon. Labels are bounded: accounts and classes come from the rules alone, and the series of an
 * account end when its rule goes.
 */
public final class ServerMetrics {

    /**
     * What a second has of nanoseconds.
     */
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Bounds of the histograms, in seconds.
     */
    private static final double[] BOUNDS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30, 60, 120
    };

    /**
     * The registry of all metrics.
     */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /**
     * The time from a request to its first token.
     */
    private final Histogram firstToken = histogram("ragwortpitch_first_token_seconds", "Time to the first token");

    /**
     * The time between two tokens.
     */
    private final Histogram betweenTokens =
            histogram("ragwortpitch_between_tokens_seconds", "Time between two tokens of an answer");

    /**
     * The time of a whole answer.
     */
    private final Histogram total = histogram("ragwortpitch_request_seconds", "Time of a whole answer");

    /**
     * The time that a request waits for an endpoint.
     */
    private final Histogram queueWait =
            histogram("ragwortpitch_queue_wait_seconds", "Time that a request waits for an endpoint");

    /**
     * The requests by their outcome.
     */
    private final Counter requests = Counter.builder()
            .name("ragwortpitch_requests_total")
            .help("Requests by outcome: answered, cancelled or the kind of error")
            .labelNames("account", "class", "outcome")
            .register(registry);

    /**
     * The retries.
     */
    private final Counter retries = Counter.builder()
            .name("ragwortpitch_retries_total")
            .help("Attempts after the first, by why the one before failed")
            .labelNames("reason")
            .register(registry);

    /**
     * The state of the control thread.
     */
    private final Gauge control = Gauge.builder()
            .name("ragwortpitch_control")
            .help("Control state: applied_offset, rules_version, members, lease_remaining_ms, contact_age_ms, duties")
            .labelNames("value")
            .register(registry);

    /**
     * The pairs of account and class that have series.
     */
    private final Set<SeriesKey> series = ConcurrentHashMap.newKeySet();

    /**
     * Makes a histogram.
     *
     * @param name its name
     * @param help what it tells
     * @return the histogram
     */
    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(BOUNDS_SECONDS)
                .labelNames("account", "class")
                .register(registry);
    }

    /**
     * Notes the first token of an answer.
     *
     * @param account      the client account
     * @param requestClass the class of request
     * @param nanos        the time since the request, in nanoseconds
     */
    public void firstToken(AccountId account, String requestClass, long nanos) {
        observe(firstToken, account, requestClass, nanos);
    }

    /**
     * Notes a further token of an answer.
     *
     * @param account      the client account
     * @param requestClass the class of request
     * @param nanos        the time since the token before, in nanoseconds
     */
    public void betweenTokens(AccountId account, String requestClass, long nanos) {
        observe(betweenTokens, account, requestClass, nanos);
    }

    /**
     * Notes the wait of a request.
     *
     * @param account      the client account
     * @param requestClass the class of request
     * @param nanos        the wait, in nanoseconds
     */
    public void queueWait(AccountId account, String requestClass, long nanos) {
        observe(queueWait, account, requestClass, nanos);
    }

    /**
     * Notes an answered request.
     *
     * @param account      the client account
     * @param requestClass the class of request
     * @param nanos        the time since the request, in nanoseconds
     */
    public void answered(AccountId account, String requestClass, long nanos) {
        observe(total, account, requestClass, nanos);
        requests.labelValues(account.value(), requestClass, "answered").inc();
    }

    /**
     * Notes a request whose caller went away.
     *
     * @param account      the client account
     * @param requestClass the class of request
     */
    public void cancelled(AccountId account, String requestClass) {
        requests.labelValues(account.value(), requestClass, "cancelled").inc();
    }

    /**
     * Notes a refused or failed request.
     *
     * @param account      the client account, or a fixed word if it is not known
     * @param requestClass the class of request
     * @param kind         the kind of error
     */
    public void refused(AccountId account, String requestClass, ErrorKind kind) {
        series.add(new SeriesKey(account, requestClass));
        requests.labelValues(account.value(), requestClass, kind.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    /**
     * Notes a retry.
     *
     * @param reason why the attempt before failed
     */
    public void retried(String reason) {
        retries.labelValues(reason).inc();
    }

    /**
     * Sets a value of control state.
     *
     * @param name  its name
     * @param value the value
     */
    public void control(String name, double value) {
        control.labelValues(name).set(value);
    }

    /**
     * Ends the series of accounts whose rules have gone.
     *
     * @param known the accounts with rules
     */
    public void retainAccounts(Set<AccountId> known) {
        for (SeriesKey key : series) {
            if (!known.contains(key.account()) && series.remove(key)) {
                String account = key.account().value();
                firstToken.remove(account, key.requestClass());
                betweenTokens.remove(account, key.requestClass());
                total.remove(account, key.requestClass());
                queueWait.remove(account, key.requestClass());
                requests.remove(account, key.requestClass(), "answered");
                requests.remove(account, key.requestClass(), "cancelled");
                for (ErrorKind kind : ErrorKind.values()) {
                    requests.remove(account, key.requestClass(), kind.name().toLowerCase(java.util.Locale.ROOT));
                }
            }
        }
    }

    /**
     * Writes all metrics.
     *
     * @return the metrics in the text format
     */
    public String scrape() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(bytes, registry.scrape());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /**
     * Adds an observation.
     *
     * @param histogram    where to
     * @param account      the client account
     * @param requestClass the class of request
     * @param nanos        the time, in nanoseconds
     */
    private void observe(Histogram histogram, AccountId account, String requestClass, long nanos) {
        series.add(new SeriesKey(account, requestClass));
        histogram.labelValues(account.value(), requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * What names the series of an account and class.
     *
     * @param account      the client account
     * @param requestClass the class of request
     */
    private record SeriesKey(AccountId account, String requestClass) {}
}
