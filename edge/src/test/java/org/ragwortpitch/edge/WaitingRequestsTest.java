package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests a daemon before one engine that has room for two requests, of 3,100 tokens each, and callers of an account
 * without a rate limit.
 */
class WaitingRequestsTest {

    private static final long PAUSE_MILLIS = 30;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150}],
            "Services":[{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":%d,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":%d,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint engine = closer.add(new StandinEndpoint("i-1"));

    @BeforeEach
    void list() {
        engine.list(store, "llm", "decode", "ready");
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private Edge deploy(int kvCapacityTokens, int ratePerSecond) throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(kvCapacityTokens, ratePerSecond));
        return daemons.start("front-1");
    }

    /** Sends requests so far apart that the engine has begun each one before the next arrives. */
    private List<CompletableFuture<HttpResponse<String>>> ask(Edge edge, int requests) throws Exception {
        return ask(edge, requests, PAUSE_MILLIS);
    }

    private List<CompletableFuture<HttpResponse<String>>> ask(Edge edge, int requests, long pauseMillis)
            throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int request = 0; request < requests; request++) {
            answers.add(daemons.ask(edge, "/ask/x", Optional.of("")));
            Thread.sleep(pauseMillis);
        }
        return answers;
    }

    /**
     * Guards against requests in the queue of a full engine, against requests that wait for ever, and against waits
     * where all accounts have a rate limit.
     */
    @ParameterizedTest
    @CsvSource({"0, 2", "1000000, 6"})
    void testRequestsBeyondTheKvCacheWaitInTheDaemon(int ratePerSecond, int atOnce) throws Exception {
        Edge edge = deploy(6_500, ratePerSecond);
        engine.pace(100);
        List<CompletableFuture<HttpResponse<String>>> answers = ask(edge, 6);
        Thread.sleep(150);
        assertEquals(atOnce, engine.executedRequests().size());
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.get().statusCode());
        }
        assertEquals(6, engine.executedRequests().size());
    }

    /** Guards against requests held until their deadlines, and refused ones that run or come back all at once. */
    @Test
    void testRequestsThatCannotStartInTimeAreRefusedBeforeTheirDeadlines() throws Exception {
        Edge edge = deploy(6_500, 0);
        engine.pace(700);
        List<CompletableFuture<HttpResponse<String>>> answers = ask(edge, 8, 0);
        List<Double> retrySeconds = new ArrayList<>();
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            HttpResponse<String> response = answer.get();
            if (response.statusCode() != 200) {
                assertEquals(503, response.statusCode());
                assertEquals(Optional.empty(), response.headers().firstValue("X-Ragwortpitch-Response-Seal"));
                retrySeconds.add(Double.valueOf(
                        response.headers().firstValue("Retry-After").orElseThrow()));
            }
        }
        assertEquals(6, retrySeconds.size());
        assertEquals(6, retrySeconds.stream().distinct().count(), "Retry-After: " + retrySeconds);
        assertEquals(2, engine.executedRequests().size());
    }

    /** Guards against requests that are sent to an engine after their callers have left. */
    @Test
    void testRequestOfACallerThatLeftIsNotSent() throws Exception {
        Edge edge = deploy(6_500, 0);
        engine.pace(100);
        List<CompletableFuture<HttpResponse<String>>> running = ask(edge, 2);
        TestDaemons.await(() -> engine.executedRequests().size() == 2);
        List<CompletableFuture<HttpResponse<String>>> leaving = ask(edge, 3);
        Thread.sleep(100);
        leaving.forEach(answer -> answer.cancel(true));
        for (CompletableFuture<HttpResponse<String>> answer : running) {
            assertEquals(200, answer.get().statusCode());
        }
        Thread.sleep(300);
        assertEquals(2, engine.executedRequests().size());
    }

    /** Guards against requests that wait for room which their callers don't expect to need. */
    @ParameterizedTest
    @CsvSource({"1, 2", "'', 1"})
    void testRequestsNeedRoomForTheOutputThatTheirCallersExpect(String hint, int atOnce) throws Exception {
        Edge edge = deploy(6_150, 0);
        engine.pace(100);
        for (String attempt : List.of("one", "two")) {
            daemons.stream(edge, "/ask/x", attempt, Map.of(Headers.LENGTH_HINT, hint));
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(150);
        assertEquals(atOnce, engine.executedRequests().size());
        TestDaemons.await(() -> engine.executedRequests().size() == 2);
    }

    /** Guards against prompts that no engine can ever hold and that wait, or are sent to an engine in vain. */
    @Test
    void testPromptBeyondTheKvCacheIsRefusedAtOnce() throws Exception {
        HttpResponse<String> response = ask(deploy(2_900, 0), 1).get(0).get();
        assertEquals(503, response.statusCode());
        assertTrue(response.body().contains("exceeds the KV cache"), response.body());
        assertEquals(0, engine.executedRequests().size());
    }
}
