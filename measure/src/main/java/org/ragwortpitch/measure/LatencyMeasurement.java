package org.ragwortpitch.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineRequest;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.standin.StandinSettings;

/**
 * Measures the latency that one daemon on two processors adds to an endpoint's answer, and its processor time for each
 * request and each streamed token. Each round calls the endpoint directly and through the daemon in turn. Arguments:
 * rounds, callers.
 */
final class LatencyMeasurement implements Measurement {

    /**
     * Requests of each caller in a series.
     */
    private static final int REQUESTS_PER_CALLER = 250;

    /**
     * Length of a short answer, in tokens.
     */
    private static final int SHORT_TOKENS = 1;

    /**
     * Length of a long answer, in tokens.
     */
    private static final int LONG_TOKENS = 17;

    /**
     * JVM flags of the measured daemon; two processors bound its share of the machine.
     */
    private static final List<String> JVM_FLAGS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=2");

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Override
    public void run(Arguments arguments, PrintStream table) throws Exception {
        int rounds = (int) arguments.number(0, 4);
        int callers = (int) arguments.number(1, 8);
        StandinSettings engine = new StandinSettings().withEngines(1).withStepMicros(1_000);
        try (MeasuredFleet fleet = new MeasuredFleet(1, engine, JVM_FLAGS)) {
            table.println("what,callers,requests_per_second,p50_ms,p99_ms,daemon_cpu_us_per_request");
            for (int round = 0; round < rounds; round++) {
                row(table, fleet, "endpoint alone plain", callers, direct(fleet, SHORT_TOKENS));
                row(table, fleet, "through daemon plain", callers, daemon(fleet, SHORT_TOKENS, false));
                row(table, fleet, "endpoint alone 17 tokens", callers, direct(fleet, LONG_TOKENS));
                row(table, fleet, "through daemon 17 tokens", callers, daemon(fleet, LONG_TOKENS, true));
            }
            row(table, fleet, "through daemon plain", 1, daemon(fleet, SHORT_TOKENS, false));
            row(table, fleet, "endpoint alone plain", 1, direct(fleet, SHORT_TOKENS));
            row(table, fleet, "through daemon plain", 64, daemon(fleet, SHORT_TOKENS, false));
        }
    }

    /**
     * Runs one series of requests and prints its row.
     *
     * @param name    label of the series, the first column
     * @param callers number of concurrent callers
     * @throws Exception if a request fails
     */
    private void row(PrintStream table, MeasuredFleet fleet, String name, int callers, HttpRequest request)
            throws Exception {
        MeasuredDaemon daemon = fleet.daemons().get(0);
        double cpu = daemon.cpuSeconds();
        long startNanos = System.nanoTime();
        List<Double> millis = runCallers(callers, request);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double usedSeconds = daemon.cpuSeconds() - cpu;
        millis.sort(null);
        table.printf(
                "%s,%d,%.0f,%.2f,%.2f,%.0f%n",
                name,
                callers,
                millis.size() / seconds,
                millis.get(millis.size() / 2),
                millis.get((int) (millis.size() * 0.99)),
                1e6 * usedSeconds / millis.size());
    }

    /**
     * Runs concurrent callers, each of which sends its requests one after the other.
     *
     * @return the latency of each request, in milliseconds
     * @throws Exception if a request fails
     */
    private List<Double> runCallers(int callers, HttpRequest request) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        List<Future<List<Double>>> results = new ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            results.add(threads.submit((Callable<List<Double>>) () -> runCaller(request)));
        }
        List<Double> all = new ArrayList<>();
        for (Future<List<Double>> result : results) {
            all.addAll(result.get());
        }
        threads.shutdown();
        threads.awaitTermination(1, TimeUnit.MINUTES);
        return all;
    }

    /**
     * Sends the requests of one caller, one after the other.
     *
     * @return the latency of each request, in milliseconds
     * @throws IOException          if a request fails or its status is not 200
     * @throws InterruptedException if the wait is interrupted
     */
    private List<Double> runCaller(HttpRequest request) throws IOException, InterruptedException {
        List<Double> millis = new ArrayList<>();
        for (int index = 0; index < REQUESTS_PER_CALLER; index++) {
            long startNanos = System.nanoTime();
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            millis.add((System.nanoTime() - startNanos) / 1e6);
            if (response.statusCode() != 200) {
                throw new IOException(response.body());
            }
        }
        return millis;
    }

    /**
     * Returns a request that goes directly to the endpoint.
     *
     * @param tokens number of tokens to decode
     */
    private static HttpRequest direct(MeasuredFleet fleet, int tokens) {
        AttemptId id = new AttemptId(new RequestId("direct"), 1);
        String body = Json.write(new EngineRequest(id, "m", "user: ready?\n", tokens, 5, List.of()));
        return MeasuredFleet.request(fleet.port(1), "/v1/run", "", body);
    }

    /**
     * Returns a request that goes through the daemon.
     *
     * @param tokens number of tokens to decode
     * @param stream whether the answer is streamed token by token
     */
    private static HttpRequest daemon(MeasuredFleet fleet, int tokens, boolean stream) {
        int port = fleet.daemons().get(0).callerPort();
        String body = MeasuredFleet.chat("ready?", tokens, stream);
        return MeasuredFleet.request(port, "/v1/chat/completions", MeasuredFleet.KEY, body);
    }
}
