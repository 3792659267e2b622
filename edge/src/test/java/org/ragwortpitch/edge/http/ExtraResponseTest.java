package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StutteringPeer;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests what requests get from an endpoint that writes more than one response where one is due.
 */
class ExtraResponseTest {

    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n";

    /** Exceeds the length of each response of the peer, in bytes. */
    private static final int CUTS = 160;

    private final TestEventLoop loops = new TestEventLoop();

    private final List<Integer> heard = new CopyOnWriteArrayList<>();

    private final ConnectionPool pool = new ConnectionPool(
            loops.loop(), 500, TestEventLoop.CLOCK_MILLIS, new Statuses(heard), ResponseMemory.forControl());

    @AfterEach
    void close() {
        loops.close();
    }

    private CompletableFuture<String> send(String method, String address, String attemptId) {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        loops.loop().execute(() -> sendNow(method, address, attemptId, outcome));
        return outcome;
    }

    private void sendNow(String method, String address, String attemptId, CompletableFuture<String> outcome) {
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.ATTEMPT, attemptId);
        OutboundRequest request = new OutboundRequest(method, "/x", headers, Unpooled.EMPTY_BUFFER, attemptId);
        pool.send(address, request, Long.MAX_VALUE, new Recorder(outcome));
    }

    private String get(String address, String attemptId) throws Exception {
        return send("GET", address, attemptId).get(5, TimeUnit.SECONDS);
    }

    private static String expected(String attemptId, int number) {
        return "200 " + StutteringPeer.body(attemptId, number);
    }

    /** What stands where the answer to a request on a kept connection is due; the answer follows. */
    enum Extra {
        COPY((previous, present) -> previous + present),
        COPY_WITHOUT_ID((previous, present) -> StutteringPeer.withoutId(previous) + present),
        TWO_COPIES_WITHOUT_ID((previous, present) ->
                StutteringPeer.withoutId(previous) + StutteringPeer.withoutId(previous) + present),
        COPY_WITHOUT_ID_AND_ANSWER_LATER(
                (previous, present) -> StutteringPeer.withoutId(previous) + StutteringPeer.LATER + present),
        REFUSAL_WITHOUT_ID((previous, present) -> REFUSAL + present),
        COPY_IN_CHUNKS((previous, present) -> "HTTP/1.1 200 OK\r\n" + Headers.SEAL
                + ": old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n" + present),
        INTERIM((previous, present) -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + present),
        NO_CONTENT((previous, present) -> "HTTP/1.1 204 No Content\r\n" + Headers.SEAL + ": old\r\n\r\n" + present);

        private final BinaryOperator<String> stutter;

        Extra(BinaryOperator<String> stutter) {
            this.stutter = stutter;
        }

        String write(String previous, String present) {
            return previous.isEmpty() ? present : stutter.apply(previous, present);
        }
    }

    /** Guards against an extra response that is taken for the answer, or that costs the request its answer. */
    @ParameterizedTest
    @EnumSource
    void testExtraResponseBeforeTheAnswerIsSkipped(Extra extra) throws Exception {
        try (StutteringPeer peer = new StutteringPeer(extra::write)) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals(expected("b", 2), get(peer.address(), "b"));
            assertEquals(1, peer.connections());
        }
    }

    /** Guards against a request that waits on after a response without an id that nothing follows. */
    @Test
    void testResponseWithoutIdThatNothingFollowsFailsTheRequest() throws Exception {
        try (StutteringPeer peer = new StutteringPeer(
                (previous, present) -> previous.isEmpty() ? present : StutteringPeer.withoutId(previous))) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals("failed", get(peer.address(), "b"));
        }
    }

    /** Guards against a spoiled answer that holds its request for the time that a copy's answer may take to follow. */
    @Test
    void testAnswerWithoutIdAndSealFailsTheRequestAtOnce() throws Exception {
        String spoiled = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> previous.isEmpty() ? present : spoiled)) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals("failed", send("GET", peer.address(), "b").get(500, TimeUnit.MILLISECONDS));
        }
    }

    /** Guards against extra responses without end, which would hold a request until its deadline. */
    @Test
    void testExtraResponsesWithoutEndFailTheRequest() throws Exception {
        try (StutteringPeer peer =
                new StutteringPeer((previous, present) -> previous.isEmpty() ? present : previous.repeat(10_000))) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals("failed", get(peer.address(), "b"));
        }
    }

    /** Guards against a copy of the answer to one send of an attempt that passes for the answer to a later send. */
    @ParameterizedTest
    @EnumSource(names = {"COPY", "COPY_WITHOUT_ID"})
    void testAttemptThatIsSentAgainGetsNoCopyOfItsEarlierAnswer(Extra extra) throws Exception {
        try (StutteringPeer peer = new StutteringPeer(extra::write)) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals(expected("a", 2), get(peer.address(), "a"));
            assertEquals(2, peer.connections());
            assertEquals(expected("b", 3), get(peer.address(), "b"));
            assertEquals(2, peer.connections(), "another attempt uses either");
        }
    }

    /** Guards against a daemon's own call that takes the copy of a request's answer and leaves its own for the next. */
    @Test
    void testCallTakesNoAnswerOfARequest() throws Exception {
        try (StutteringPeer peer = new StutteringPeer(Extra.COPY::write)) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            BufferingHttpCaller caller = new BufferingHttpCaller(loops.loop(), pool);
            assertEquals(StutteringPeer.body("", 2), call(caller, peer.address()));
            assertEquals(expected("b", 3), get(peer.address(), "b"));
        }
    }

    /** Guards against an order to an engine that gets a copy of the answer to an earlier call. */
    @Test
    void testCallOnANewConnectionGetsNoCopyOfAnEarlierAnswer() throws Exception {
        try (StutteringPeer peer = new StutteringPeer(Extra.COPY::write)) {
            BufferingHttpCaller caller = new BufferingHttpCaller(loops.loop(), pool).onNewConnections();
            for (int number = 1; number <= 3; number++) {
                assertEquals(StutteringPeer.body("", number), call(caller, peer.address()));
            }
        }
    }

    private String call(BufferingHttpCaller caller, String address) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        HttpCall call = new HttpCall("DELETE", "/x", Map.of(), new byte[0]);
        loops.loop()
                .execute(() -> caller.call(
                        address,
                        call,
                        2_000,
                        response -> outcome.complete(new String(response.body(), StandardCharsets.US_ASCII)),
                        failure -> outcome.complete("failed")));
        return outcome.get(5, TimeUnit.SECONDS);
    }

    /** Guards against bytes after a response that spoil the answer to the next request on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTT", "HTTP/1.1 200 OK\r\nContent-Le", "junk", StutteringPeer.LATER + "junk"})
    void testBytesAfterAResponseReachNoLaterRequest(String bytes) throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> present + bytes)) {
            CompletableFuture<String> second = new CompletableFuture<>();
            CompletableFuture<String> first = send("GET", peer.address(), "a");
            if (!bytes.startsWith(StutteringPeer.LATER)) {
                first.thenRun(() -> sendNow("GET", peer.address(), "b", second));
            }
            assertEquals(expected("a", 1), first.get(5, TimeUnit.SECONDS));
            if (bytes.startsWith(StutteringPeer.LATER)) {
                Thread.sleep(400);
                loops.loop().execute(() -> sendNow("GET", peer.address(), "b", second));
            }
            assertEquals(expected("b", 2), second.get(5, TimeUnit.SECONDS));
            assertEquals(2, peer.connections());
        }
    }

    /** Guards against an earlier success that is cut short and joins the answer's head, which then tells its status. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testCutResponseGivesTheAnswerNoOtherStatus(boolean withId) throws Exception {
        Map<Integer, CompletableFuture<String>> outcomes = new TreeMap<>();
        Closer peers = new Closer();
        for (int cut = 1; cut < CUTS; cut++) {
            int length = cut;
            StutteringPeer peer = peers.add(new StutteringPeer((previous, present) -> previous.isEmpty()
                    ? present
                    : cut(withId ? previous : StutteringPeer.withoutId(previous), length)
                            + present.replaceFirst("200 OK", "500 Failed")));
            CompletableFuture<String> second = new CompletableFuture<>();
            outcomes.put(cut, second);
            send("GET", peer.address(), "a").thenRun(() -> sendNow("GET", peer.address(), "b", second));
        }
        List<String> successes = new ArrayList<>();
        for (Map.Entry<Integer, CompletableFuture<String>> outcome : outcomes.entrySet()) {
            String text = outcome.getValue().get(5, TimeUnit.SECONDS);
            if (text.startsWith("200")) {
                successes.add("cut after " + outcome.getKey() + ": " + text);
            }
        }
        peers.close();
        assertEquals(List.of(), successes);
    }

    private static String cut(String response, int length) {
        return response.substring(0, Math.min(length, response.length() - 1));
    }

    /** Guards against an earlier refusal, written once more, that makes an endpoint rest once more. */
    @Test
    void testExtraResponseTellsNothingOfTheEndpoint() throws Exception {
        String identified = REFUSAL.replace("Retry", Headers.ATTEMPT + ": other\r\nRetry");
        try (StutteringPeer peer = new StutteringPeer(
                (previous, present) -> previous.isEmpty() ? present : identified + REFUSAL + present)) {
            assertEquals(expected("a", 1), get(peer.address(), "a"));
            assertEquals(expected("b", 2), get(peer.address(), "b"));
            assertEquals(List.of(200, 200), heard);
        }
    }

    /** Guards against the response to a request for a head alone, whose stated length is taken for a body to come. */
    @Test
    void testResponseToARequestForTheHeadHasNoBody() throws Exception {
        try (StutteringPeer peer = new StutteringPeer((previous, present) -> present)) {
            assertEquals("200 ", send("HEAD", peer.address(), "a").get(5, TimeUnit.SECONDS));
            assertEquals(expected("b", 2), get(peer.address(), "b"));
            assertTrue(peer.requests().get(0).startsWith("HEAD "));
        }
    }

    /**
     * Records the status of each response that is heard.
     */
    private record Statuses(List<Integer> heard) implements ConnectionObserver {

        @Override
        public void onHeard(String address) {}

        @Override
        public void onConnectFailed(String address) {}

        @Override
        public void onResponse(String address, int status, HttpHeaders headers) {
            heard.add(status);
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
            outcome.complete("failed");
        }
    }
}
