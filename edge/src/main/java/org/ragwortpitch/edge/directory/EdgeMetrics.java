package org.ragwortpitch.edge.directory;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.overflow.DomainShares;
import org.ragwortpitch.placement.EngineSpeed;
import org.ragwortpitch.response.ResponseOrigin;

/**
 * Prometheus metrics of a daemon. Label values are bounded: kinds, outcomes and statuses, pools, never routes,
 * accounts or endpoints.
 */
public final class EdgeMetrics {

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final double[] BOUNDS_SECONDS = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2, 3, 4, 6, 8};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram answers = histogram("ragwortpitch_answer_seconds", "Time of a whole answer");
    private final Histogram firstEvents =
            histogram("ragwortpitch_first_event_seconds", "Time until the first event of a stream");
    private final Histogram endpoints =
            histogram("ragwortpitch_endpoint_seconds", "Time that a plain service took for an answer");
    private final Histogram waits =
            histogram("ragwortpitch_admission_wait_seconds", "Time that requests waited for an engine, by outcome");
    private final Gauge waitingRequests = Gauge.builder()
            .name("ragwortpitch_waiting_requests")
            .help("Requests that wait for room on an engine")
            .register(registry);
    private final Gauge waitingBytes = Gauge.builder()
            .name("ragwortpitch_waiting_bytes")
            .help("Bytes of the bodies of the requests that wait for room on an engine")
            .register(registry);
    private final Counter requests = Counter.builder()
            .name("ragwortpitch_requests_total")
            .help("Requests by kind and outcome")
            .labelNames("kind", "outcome")
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("ragwortpitch_refusals_total")
            .help("Requests refused before they were let in, by status")
            .labelNames("status")
            .register(registry);
    private final Counter losses = Counter.builder()
            .name("ragwortpitch_dependency_losses_total")
            .help("How often something that the daemon needs was lost, by what it was")
            .labelNames("dependency")
            .register(registry);
    private final Counter repeats = Counter.builder()
            .name("ragwortpitch_repeat_sends_total")
            .help("Sends beyond the first run and the first accepted prefill of a request, by kind of route")
            .labelNames("kind")
            .register(registry);
    private final Counter budgetDenials = Counter.builder()
            .name("ragwortpitch_retry_budget_denials_total")
            .help("Retries that the retry budget did not allow")
            .register(registry);
    private final Counter unexpectedResponses = Counter.builder()
            .name("ragwortpitch_unexpected_responses_total")
            .help("Responses of endpoints that answer no pending request, by what their attempt id tells")
            .labelNames("origin")
            .register(registry);
    private final Counter coldHeldOff = Counter.builder()
            .name("ragwortpitch_cold_held_off_total")
            .help("Searches for an endpoint in which a cold one could take no request of this daemon")
            .register(registry);
    private final Counter slotsLent = Counter.builder()
            .name("ragwortpitch_cold_slots_lent_total")
            .help("Slots of cold endpoints that this daemon left to another one")
            .register(registry);
    private final Gauge deploymentVersion = Gauge.builder()
            .name("ragwortpitch_deployment_version")
            .help("The version of the configuration in force")
            .register(registry);
    private final Gauge enginePrefillRate = Gauge.builder()
            .name("ragwortpitch_engine_prefill_tokens_per_second")
            .help("Learned prefill throughput of a pool's engines, without set-up and attention")
            .labelNames("pool")
            .register(registry);
    private final Gauge engineTimes = Gauge.builder()
            .name("ragwortpitch_engine_learned_seconds")
            .help("Learned times of a pool's engines, by what they take them for")
            .labelNames("pool", "figure")
            .register(registry);
    private final Gauge overflowShares = Gauge.builder()
            .name("ragwortpitch_overflow_share")
            .help("Share of a pool's demand in this failure domain that may leave for another one")
            .labelNames("pool", "target")
            .register(registry);
    private final Counter domainTraffic = Counter.builder()
            .name("ragwortpitch_domain_traffic_bytes_total")
            .help("Bytes of requests and KV caches of generations sent from one failure domain to another")
            .labelNames("from", "to")
            .register(registry);
    private final Map<PoolId, Set<FailureDomain>> overflowTargets = new HashMap<>();

    /**
     * Records the outcome of a request and the time of its whole answer, in milliseconds.
     */
    public void recordAnswer(Route route, String outcome, long millis) {
        requests.labelValues(kind(route), outcome).inc();
        answers.labelValues(kind(route)).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts the sends of a request that were repeats.
     */
    public void recordRepeats(Route route, int count) {
        repeats.labelValues(kind(route)).inc(count);
    }

    /**
     * Counts a retry that the retry budget did not allow.
     */
    public void recordBudgetDenial() {
        budgetDenials.inc();
    }

    /**
     * Records the time until a stream's first event, in milliseconds.
     */
    public void recordFirstEvent(Route route, long millis) {
        firstEvents.labelValues(kind(route)).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records the response time of a plain service, in milliseconds.
     */
    public void recordEndpointAnswer(long millis) {
        endpoints.labelValues("service").observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records the end of a request's wait for room on an engine.
     *
     * @param outcome placed, refused, left or no-engine
     */
    public void recordWait(String outcome, long millis) {
        waits.labelValues(outcome).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Sets the number and size of the requests that wait for room on an engine.
     */
    public void setWaiting(int requestCount, long bytes) {
        waitingRequests.set(requestCount);
        waitingBytes.set(bytes);
    }

    /**
     * Counts a request that was refused before admission, by its status code.
     */
    public void recordRefusal(int status) {
        refusals.labelValues(Integer.toString(status)).inc();
    }

    /**
     * Counts the loss of a dependency.
     */
    public void recordDependencyLoss(String dependency) {
        losses.labelValues(dependency).inc();
    }

    /**
     * Counts a response of an endpoint that was not taken for the answer to the pending request.
     */
    public void recordUnexpectedResponse(ResponseOrigin origin) {
        unexpectedResponses
                .labelValues(origin.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .inc();
    }

    /**
     * Counts a search for an endpoint in which a cold one could take no request of this daemon.
     */
    public void recordColdHeldOff() {
        coldHeldOff.inc();
    }

    /**
     * Counts a slot of a cold endpoint that this daemon left to another one.
     */
    public void recordSlotLent() {
        slotsLent.inc();
    }

    /**
     * Sets the version of the configuration that is in force.
     */
    public void setVersion(long inForce) {
        deploymentVersion.set(inForce);
    }

    /**
     * Sets the shares of a pool's demand that may leave for other failure domains. Called on one thread.
     */
    public void setOverflow(PoolId pool, DomainShares shares) {
        Set<FailureDomain> known = overflowTargets.computeIfAbsent(pool, id -> new HashSet<>());
        known.addAll(shares.targets().keySet());
        known.forEach(domain -> overflowShares
                .labelValues(pool.value(), domain.value())
                .set(shares.targets().getOrDefault(domain, 0.0)));
    }

    /**
     * Counts bytes of a generation that go from one failure domain to another; none within a domain.
     */
    public void recordDomainTraffic(FailureDomain from, FailureDomain to, long bytes) {
        if (!from.equals(to)) {
            domainTraffic.labelValues(from.value(), to.value()).inc(bytes);
        }
    }

    /**
     * Reports the number of evacuated failure domains from now on.
     *
     * @param count called with each scrape
     */
    public void countEvacuatedDomains(IntSupplier count) {
        GaugeWithCallback.builder()
                .name("ragwortpitch_evacuated_domains")
                .help("Failure domains that this daemon knows to be evacuated")
                .callback(callback -> callback.call(count.getAsInt()))
                .register(registry);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @param engineSpeeds passes on the learned speed of each pool's engines
     */
    public byte[] scrape(Consumer<BiConsumer<PoolId, EngineSpeed>> engineSpeeds) {
        engineSpeeds.accept(this::setEngineSpeed);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return out.toByteArray();
    }

    private void setEngineSpeed(PoolId pool, EngineSpeed speed) {
        enginePrefillRate.labelValues(pool.value()).set(speed.prefillTokensPerMilli() * MILLIS_PER_SECOND);
        engineTimes.labelValues(pool.value(), "setup").set(speed.setupMillis() / MILLIS_PER_SECOND);
        engineTimes.labelValues(pool.value(), "first-event").set(speed.firstEventMillis() / MILLIS_PER_SECOND);
        engineTimes.labelValues(pool.value(), "step").set(speed.stepMillis() / MILLIS_PER_SECOND);
    }

    private static String kind(Route route) {
        return route.kind().name().toLowerCase(Locale.ROOT);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("kind")
                .classicOnly()
                .classicUpperBounds(BOUNDS_SECONDS)
                .register(registry);
    }
}
