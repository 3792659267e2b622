package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.standin.StutteringPeer;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests what a request gets if part of an extra response arrives while it is pending, or if its answer takes long after
 * an extra response.
 */
class PartialExtraResponseTest {

    private final TestEventLoop loops = new TestEventLoop();

    private final List<UnexpectedResponse> unexpected = new CopyOnWriteArrayList<>();

    private final ConnectionPool pool = new ConnectionPool(
            loops.loop(),
            500,
            TestEventLoop.CLOCK_MILLIS,
            new UnexpectedResponses(unexpected),
            ResponseMemory.forControl());

    @AfterEach
    void close() {
        loops.close();
    }

    private CompletableFuture<String> send(String method, String address, String attemptId) {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.ATTEMPT, attemptId);
        OutboundRequest request = new OutboundRequest(method, "/x", headers, Unpooled.EMPTY_BUFFER, attemptId);
        loops.loop().execute(() -> pool.send(address, request, Long.MAX_VALUE, new Recorder(outcome)));
        return outcome;
    }

    private String outcome(String method, String address, String attemptId) throws Exception {
        return send(method, address, attemptId).get(8, TimeUnit.SECONDS);
    }

    /** Guards against the status of an extra response, cut within its head, with the id and seal of the answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\n" + Headers.SEAL + ": seal-1",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nServer: x",
                "HTTP/1.1 200 OK\r\nContent-Type",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            })
    void testFailureAfterPartOfAnExtraHeadIsNoSuccess(String part) throws Exception {
        for (String pause : List.of("", StutteringPeer.LATER)) {
            try (StutteringPeer peer = new StutteringPeer((previous, present) ->
                    previous.isEmpty() ? present : part + pause + present.replace("200 OK", "500 Internal"))) {
                assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
                String second = outcome("GET", peer.address(), "b");
                assertTrue(!second.startsWith("200"), second + " of an answer with status 500");
            }
        }
    }

    /** Guards against an answer cut short within its body, whose rest is taken from a response that follows it. */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "9, false", "9, true", "13, false", "13, true"})
    void testBodyIsNotCompletedWithAnotherResponse(int missing, boolean identified) throws Exception {
        for (String pause : List.of("", StutteringPeer.LATER)) {
            try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous.isEmpty()
                    ? present
                    : present.substring(0, present.length() - missing)
                            + pause
                            + (identified ? previous : StutteringPeer.withoutId(previous)))) {
                assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
                assertEquals(
                        "failed: head of another response within the body of a response",
                        outcome("GET", peer.address(), "b"));
            }
        }
    }

    /** Guards against an answer that is held for another one as its body speaks of HTTP. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HHTTP/1.1 200 OK, H",
                "HTTP/1.1 404 Not Found\r\nServer: x\r\n\r\n",
                "H",
                "HTTP/1."
            })
    void testBodyMaySpeakOfHttp(String text) throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) ->
                present.replaceFirst("Content-Length: \\d+", "Content-Length: " + (13 + text.length())) + text)) {
            assertEquals("200 answer 1 to a" + text, outcome("GET", peer.address(), "a"));
            assertEquals("200 answer 2 to b" + text, outcome("GET", peer.address(), "b"));
        }
    }

    /** Guards against an answer whose body is taken for that of an extra response which is shorter than it states. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 500\r\n", ""})
    void testExtraResponseThatSwallowsTheAnswerFailsTheRequestSoon(String length) throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous.isEmpty()
                ? present
                : "HTTP/1.1 200 OK\r\n" + Headers.ATTEMPT + ": a\r\n" + length + "\r\nold" + present)) {
            assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
            assertNotEquals(
                    "waiting",
                    send("GET", peer.address(), "b")
                            .completeOnTimeout("waiting", 5, TimeUnit.SECONDS)
                            .get());
        }
    }

    /** Guards against a limit on the wait for the head of the answer that ends the answer itself. */
    @Test
    void testAnswerThatHasBegunAfterAResponseWithoutIdMayTakeLong() throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous.isEmpty()
                ? present
                : StutteringPeer.withoutId(previous)
                        + present.replace("answer", (StutteringPeer.LATER).repeat(10) + "answer"))) {
            assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
            assertEquals("200 answer 2 to b", outcome("GET", peer.address(), "b"));
        }
    }

    /** Guards against a response without an id that costs a slow request its answer. */
    @Test
    void testSlowAnswerAfterAResponseWithoutIdIsTaken() throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous.isEmpty()
                ? present
                : StutteringPeer.withoutId(previous) + StutteringPeer.LATER.repeat(10) + present)) {
            assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
            assertEquals("200 answer 2 to b", outcome("GET", peer.address(), "b"));
        }
    }

    /** Guards against another request on a connection whose endpoint may owe the rest of an earlier response. */
    @Test
    void testConnectionWithAResponseWithoutIdCarriesNoOtherRequest() throws Exception {
        try (StutteringPeer peer = new StutteringPeer(
                (previous, present) -> previous.isEmpty() ? present : StutteringPeer.withoutId(previous) + present)) {
            assertEquals("200 answer 1 to a", outcome("GET", peer.address(), "a"));
            assertEquals("200 answer 2 to b", outcome("GET", peer.address(), "b"));
            assertEquals("200 answer 3 to c", outcome("GET", peer.address(), "c"));
            assertEquals(2, peer.connections());
        }
    }

    /** Guards against the framing of a response to HEAD that is applied to the response to another method. */
    @ParameterizedTest
    @ValueSource(strings = {"GET HEAD", "HEAD GET"})
    void testExtraResponseToAnotherMethodCostsNoAnswer(String methods) throws Exception {
        String[] method = methods.split(" ");
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous + present)) {
            outcome(method[0], peer.address(), "a");
            String second = send(method[1], peer.address(), "b")
                    .completeOnTimeout("waiting", 3, TimeUnit.SECONDS)
                    .get();
            assertEquals("HEAD".equals(method[1]) ? "200 " : "200 answer 2 to b", second);
        }
    }

    /** Guards against a line in the log for each of the responses that follow the end of a connection. */
    @Test
    void testResponsesAfterTheEndOfAConnectionAreReportedOnce() throws Exception {
        try (StutteringPeer peer =
                new StutteringPeer((previous, present) -> previous.isEmpty() ? present : previous.repeat(10_000))) {
            outcome("GET", peer.address(), "a");
            outcome("GET", peer.address(), "b");
            Thread.sleep(300);
            assertTrue(unexpected.size() <= 20, unexpected.size() + " reports");
        }
    }

    /**
     * Collects the responses that were not taken for the answer to a request.
     */
    private record UnexpectedResponses(List<UnexpectedResponse> responses) implements ConnectionObserver {

        @Override
        public void onHeard(String address) {}

        @Override
        public void onConnectFailed(String address) {}

        @Override
        public void onResponse(String address, int status, HttpHeaders headers) {}

        @Override
        public void onUnexpectedResponse(UnexpectedResponse response) {
            responses.add(response);
        }
    }

    /**
     * Renders the outcome of a request as text.
     */
    private static final class Recorder implements ResponseListener {

        private final CompletableFuture<String> outcome;
        private final StringBuilder text = new StringBuilder();

        Recorder(CompletableFuture<String> outcome) {
            this.outcome = outcome;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            text.append(status).append(' ');
        }

        @Override
        public void onContent(ByteBuf content) {
            text.append(content.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd(boolean framed) {
            outcome.complete(text.toString());
        }

        @Override
        public void onFailure(CallFailure failure) {
            outcome.complete("failed: " + failure.reason());
        }
    }
}
