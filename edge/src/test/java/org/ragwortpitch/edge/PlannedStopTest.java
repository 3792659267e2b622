package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests what callers get from a daemon during its grace period.
 */
class PlannedStopTest {

    /** The grace period of the tests' daemons, in milliseconds. */
    private static final long GRACE_MILLIS = 8_000;

    private static final int TENTHS = 10;

    /** How long a plain response, or each of five events, takes, in milliseconds. */
    private static final long PACE_MILLIS = 150;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"book","Host":"127.0.0.1","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":1000,
            "TargetLatencyMs":500,"Service":"app","MaxAttempts":1},
            {"Name":"once","Host":"127.0.0.1","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":400,"Service":"llm","MaxAttempts":1,"TargetGapMs":150}],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint service = closer.add(new StandinEndpoint("a-1"));
    private final StandinEndpoint engine = closer.add(new StandinEndpoint("e-1"));
    private Edge edge;

    @BeforeEach
    void start() throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT);
        service.list(store, "app", "", "ready");
        engine.list(store, "llm", "decode", "ready");
        Stream.of(service, engine).forEach(endpoint -> endpoint.pace(PACE_MILLIS));
        edge = daemons.start("front-1");
    }

    @AfterEach
    void close() {
        closer.close();
    }

    /** A caller with a connection of its own. */
    private static HttpClient client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    private CompletableFuture<Answer> send(HttpClient client, String route) {
        String attempt = UUID.randomUUID().toString();
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + edge.frontAddress().getPort() + "/" + route + "/x"))
                .timeout(Duration.ofSeconds(8))
                .header("Authorization", "Bearer key")
                .header(Headers.ATTEMPT, attempt)
                .header(Headers.DEADLINE, "4000")
                .POST(HttpRequest.BodyPublishers.ofString("prompt " + attempt));
        if ("once".equals(route)) {
            request.header(Headers.TOKENS, "3000,100").header(Headers.PREFIX_BLOCKS, "a1:1000");
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> new Answer(attempt, failure == null ? response.statusCode() : 0));
    }

    /**
     * Guards against requests that come late in the grace period, are passed on, and are cut at its end: at each tenth
     * of it, on kept connections and new ones.
     */
    @Test
    void testNoRequestIsPassedOnAndCut() throws Exception {
        List<HttpClient> kept = new ArrayList<>();
        for (int tenth = 0; tenth < 2 * TENTHS; tenth++) {
            kept.add(client());
            assertEquals(200, send(kept.get(tenth), "book").get().status());
        }
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                edge.drain();
                edge.close();
            } catch (InterruptedException exception) {
                throw new CompletionException(exception);
            }
        });
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int tenth = 0; tenth < TENTHS; tenth++) {
            for (String route : List.of("book", "once")) {
                answers.add(send(kept.remove(0), route));
                answers.add(send(client(), route));
            }
            Thread.sleep(GRACE_MILLIS / TENTHS);
        }
        stopped.get();
        Set<String> executed = Stream.concat(service.executedRequests().stream(), engine.executedRequests().stream())
                .map(headers -> headers.get(Headers.ATTEMPT))
                .collect(Collectors.toSet());
        int served = 0;
        for (CompletableFuture<Answer> answer : answers) {
            assertEquals(executed.contains(answer.get().attempt()), answer.get().status() == 200, answer.get() + "");
            served += answer.get().status() == 200 ? 1 : 0;
        }
        assertTrue(served >= TENTHS, "requests early in the grace period are served: " + served);
    }

    /** Guards against connections that are accepted after the last check that none is open, and cut. */
    @Test
    void testNothingIsAcceptedOnceTheStopHasEnded() throws Exception {
        edge.drain();
        int port = edge.frontAddress().getPort();
        assertThrows(IOException.class, () -> new Socket("127.0.0.1", port).close());
    }

    /**
     * What a caller got.
     *
     * @param status 0 if the connection ended without a complete response
     */
    private record Answer(String attempt, int status) {}
}
