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
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.refusal.ErrorKind;

/**
 * The Prometheus metrics of a daemon. The number of label values is bounded: accounts and request classes come from the
 * rules alone, and an account's series are removed with its rule.
 */
public final class ServerMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The upper bounds of the histogram buckets, in seconds.
     */
    private static final double[] BOUNDS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30, 60, 120
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();

    /**
     * The time from the start of a request to its first token.
     */
    private final Histogram firstToken = histogram("ragwortpitch_first_token_seconds", "Time to the first token");

    /**
     * The time between consecutive tokens.
     */
    private final Histogram betweenTokens =
            histogram("ragwortpitch_between_tokens_seconds", "Time between two tokens of an answer");

    /**
     * The time from the start of a request to the end of its response.
     */
    private final Histogram total = histogram("ragwortpitch_request_seconds", "Time of a whole answer");

    /**
     * The time that a request is queued for an endpoint.
     */
    private final Histogram queueWait =
            histogram("ragwortpitch_queue_wait_seconds", "Time that a request waits for an endpoint");

    private final Counter requests = Counter.builder()
            .name("ragwortpitch_requests_total")
            .help("Requests by outcome: answered, cancelled or the kind of error")
            .labelNames("account", "class", "outcome")
            .register(registry);

    private final Counter retries = Counter.builder()
            .name("ragwortpitch_retries_total")
            .help("Attempts after the first, by why the one before failed")
            .labelNames("reason")
            .register(registry);

    private final Gauge control = Gauge.builder()
            .name("ragwortpitch_control")
            .help("Control state: applied_offset, rules_version, members, lease_remaining_ms, contact_age_ms, duties")
            .labelNames("value")
            .register(registry);

    /**
     * The pairs of account and request class that have series, for their removal.
     */
    private final Set<SeriesKey> series = ConcurrentHashMap.newKeySet();

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
     * Observes the time to first token.
     *
     * @param nanos the time since the start of the request, in nanoseconds
     */
    public void firstToken(AccountId account, String requestClass, long nanos) {
        observe(firstToken, account, requestClass, nanos);
    }

    /**
     * Observes the time between consecutive tokens.
     *
     * @param nanos the time since the previous token, in nanoseconds
     */
    public void betweenTokens(AccountId account, String requestClass, long nanos) {
        observe(betweenTokens, account, requestClass, nanos);
    }

    /**
     * Observes the time that a request was queued.
     *
     * @param nanos the time, in nanoseconds
     */
    public void queueWait(AccountId account, String requestClass, long nanos) {
        observe(queueWait, account, requestClass, nanos);
    }

    /**
     * Counts a completed request and observes its duration.
     *
     * @param nanos the time since the start of the request, in nanoseconds
     */
    public void answered(AccountId account, String requestClass, long nanos) {
        observe(total, account, requestClass, nanos);
        requests.labelValues(account.value(), requestClass, "answered").inc();
    }

    /**
     * Counts a request that its caller cancelled.
     */
    public void cancelled(AccountId account, String requestClass) {
        requests.labelValues(account.value(), requestClass, "cancelled").inc();
    }

    /**
     * Counts a refused or failed request.
     *
     * @param account the client account, or a fixed placeholder if it is not known
     */
    public void refused(AccountId account, String requestClass, ErrorKind kind) {
        series.add(new SeriesKey(account, requestClass));
        requests.labelValues(account.value(), requestClass, kind.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason why the previous attempt failed, as the label value
     */
    public void retried(String reason) {
        retries.labelValues(reason).inc();
    }

    /**
     * Sets a gauge of the control state.
     *
     * @param name the label value
     * @param value the value, in the unit that its name states
     */
    public void control(String name, double value) {
        control.labelValues(name).set(value);
    }

    /**
     * Removes the series of accounts whose rules were removed.
     *
     * @param known the accounts that have rules
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
     * Returns all metrics in the Prometheus text format.
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

    private void observe(Histogram histogram, AccountId account, String requestClass, long nanos) {
        series.add(new SeriesKey(account, requestClass));
        histogram.labelValues(account.value(), requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    private record SeriesKey(AccountId account, String requestClass) {}
}
