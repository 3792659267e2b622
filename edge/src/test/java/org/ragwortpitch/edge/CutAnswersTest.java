package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests what callers get when an endpoint stops at each byte of its answer. Each cut has a route and a service of its
 * own, so that no endpoint is avoided for an earlier failure.
 */
class CutAnswersTest {

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\n" + Headers.SEAL + ": seal-1\r\n" + Headers.ATTEMPT + ": " + ScriptedPeer.ID + "\r\n";

    private static final String BODY = "whole";

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));

    @AfterEach
    void close() {
        closer.close();
    }

    /** Guards against a success for an answer that its endpoint didn't complete. */
    @ParameterizedTest
    @CsvSource({
        "safe, Content-Length: 5, <close>",
        "unsafe, Content-Length: 5, <close>",
        "unsafe, Transfer-Encoding: chunked, <close>",
        "unsafe, Content-Length: 5, <reset>"
    })
    void testCutAnswerIsNoSuccess(String kind, String framing, String marker) throws Exception {
        boolean chunked = framing.startsWith("Transfer");
        String whole = HEAD + framing + "\r\n\r\n" + (chunked ? "5\r\n" + BODY + "\r\n0\r\n\r\n" : BODY);
        deploy(kind, whole.length() + 1);
        for (int cut = 0; cut <= whole.length(); cut++) {
            list(cut, closer.add(new ScriptedPeer(whole.substring(0, cut) + marker)));
        }
        Edge edge = daemons.start("front-1");
        List<String> successes = new ArrayList<>();
        List<CompletableFuture<HttpResponse<String>>> calls = IntStream.rangeClosed(0, whole.length())
                .mapToObj(cut -> daemons.ask(edge, "/cut" + cut + "/x", Optional.empty()))
                .toList();
        for (int cut = 0; cut < calls.size(); cut++) {
            HttpResponse<String> response = responseTo(calls.get(cut));
            assertTrue(response.statusCode() != 404, "the route is known");
            if (response.statusCode() < 300) {
                successes.add(cut + " " + response.body());
            }
        }
        assertEquals(List.of(whole.length() + " " + BODY), successes);
    }

    private static HttpResponse<String> responseTo(CompletableFuture<HttpResponse<String>> call) throws Exception {
        try {
            return call.get();
        } catch (ExecutionException exception) {
            throw new AssertionError("a plain request gets a status for a cut answer", exception);
        }
    }

    private void deploy(String kind, int cuts) {
        String routes = IntStream.range(0, cuts)
                .mapToObj(cut -> ("{\"Name\":\"r%1$d\",\"Host\":\"127.0.0.1\","
                                + "\"PathPrefix\":\"/cut%1$d/\",\"Kind\":\"%2$s\","
                                + "\"TimeoutMs\":4000,\"TargetLatencyMs\":2000,"
                                + "\"Service\":\"s%1$d\",\"MaxAttempts\":1}")
                        .formatted(cut, kind))
                .collect(Collectors.joining(","));
        String services = IntStream.range(0, cuts)
                .mapToObj(cut -> "{\"Name\":\"s" + cut + "\",\"MaxConnections\":100}")
                .collect(Collectors.joining(","));
        store.put(
                "keyed.op",
                "config",
                "{\"Version\":1,\"Routes\":[" + routes + "],\"Services\":[" + services + "],\"Tenants\":[{\"Name\":"
                        + "\"families\",\"ApiKeys\":[\"key\"],\"RatePerS\":1000000,\"Burst\":1000000,"
                        + "\"PlainTokens\":1}]}");
    }

    private void list(int cut, ScriptedPeer peer) {
        store.put(
                "keyed.servers",
                "servers/e-" + cut,
                "{\"Service\":\"s" + cut + "\",\"Address\":\"" + peer.address()
                        + "\",\"Version\":\"v1\",\"Zone\":\"a\","
                        + "\"Slots\":6,\"State\":\"ready\",\"Sequence\":1,\"born\":1}");
    }
}
