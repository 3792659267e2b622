package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Plays each response up to each of its bytes, after which the peer closes or resets the connection.
 */
class CutResponseTest {

    private static final String ID_LINE = Headers.ATTEMPT + ": present\r\n";

    private static final String SEAL_LINE = Headers.SEAL + ": seal-1\r\n";

    private static final String EARLIER =
            "HTTP/1.1 200 OK\r\n" + Headers.ATTEMPT + ": earlier\r\nContent-Length: 5\r\n\r\nfirst";

    private final Closer closer = new Closer();
    private final TestEventLoop loops = closer.add(new TestEventLoop());

    private final ConnectionPool pool = new ConnectionPool(
            loops.loop(), 2_000, TestEventLoop.CLOCK_MILLIS, ConnectionObserver.NONE, ResponseMemory.forControl());

    @AfterEach
    void close() {
        closer.close();
    }

    /** A response as it stands on the connection, and what it is when whole. */
    enum Response {
        STATED_LENGTH(200, "0123456789", "HTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE, "Content-Length: 10\r\n\r\n"),
        LENGTH_FIRST(200, "0123456789", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + ID_LINE, SEAL_LINE + "\r\n"),
        EMPTY(200, "", "HTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE, "Content-Length: 0\r\n\r\n"),
        LINE_FEEDS(200, "0123", "HTTP/1.1 200 OK\n" + ID_LINE.replace("\r", ""), "Content-Length: 4\n\n"),
        CHUNKED(
                200,
                "0123456789abcdef",
                "HTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE,
                "Transfer-Encoding: chunked\r\n\r\n10\r\n",
                "\r\n0\r\n\r\n"),
        CHUNKED_WITH_TRAILER(
                200,
                "0123456789",
                "HTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE,
                "Transfer-Encoding: chunked\r\n\r\na;x=1\r\n",
                "\r\n0\r\nSum: 12\r\n\r\n"),
        WITHOUT_LENGTH(200, "0123456789", "HTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE, "\r\n"),
        REFUSAL(
                503,
                "",
                "HTTP/1.1 503 Busy\r\n" + ID_LINE + Headers.NOT_EXECUTED + ": 1\r\n",
                "Content-Length: 0\r\n\r\n"),
        NO_CONTENT(204, "", "HTTP/1.1 204 No Content\r\n" + ID_LINE + SEAL_LINE, "\r\n"),
        INTERIM_BEFORE(
                200,
                "0123",
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + ID_LINE + SEAL_LINE,
                "Content-Length: 4\r\n\r\n");

        private final int status;
        private final String body;
        private final String head;
        private final String tail;

        Response(int status, String body, String head, String headEnd) {
            this(status, body, head, headEnd, "");
        }

        Response(int status, String body, String head, String headEnd, String tail) {
            this.status = status;
            this.body = body;
            this.head = head + headEnd;
            this.tail = tail;
        }

        String bytes() {
            return head + body + tail;
        }

        /**
         * Returns what a request gets of the start of the response. That of a response without a length can't be told
         * from the whole one, unless the connection is reset.
         */
        Outcome outcome(int cut, boolean reset) {
            int bodyBytes = cut - head.length();
            if (this == WITHOUT_LENGTH && bodyBytes >= 0 && !reset) {
                return new Outcome(true, status, "", body.substring(0, bodyBytes));
            }
            return cut == bytes().length() && this != WITHOUT_LENGTH
                    ? new Outcome(true, status, "", body)
                    : Outcome.FAILED;
        }
    }

    private CompletableFuture<Outcome> send(ScriptedPeer peer, String attemptId) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.ATTEMPT, attemptId);
        OutboundRequest request = new OutboundRequest("GET", "/x", headers, Unpooled.EMPTY_BUFFER, attemptId);
        loops.loop().execute(() -> pool.send(peer.address(), request, Long.MAX_VALUE, new OutcomeRecorder(outcome)));
        return outcome;
    }

    private static Stream<Arguments> cuts() {
        return Stream.of(Response.values()).flatMap(response -> Stream.of(false, true)
                .flatMap(kept -> Stream.of(false, true).map(reset -> Arguments.of(response, kept, reset))));
    }

    /** Guards against the start of a response that passes for a whole one. */
    @ParameterizedTest(name = "{0}, kept connection: {1}, reset: {2}")
    @MethodSource("cuts")
    void testCutResponseIsNotComplete(Response response, boolean kept, boolean reset) throws Exception {
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (int cut = 0; cut <= response.bytes().length(); cut++) {
            String start = response.bytes().substring(0, cut) + (reset ? ScriptedPeer.RESET : ScriptedPeer.CLOSE);
            ScriptedPeer peer = closer.add(kept ? new ScriptedPeer(EARLIER, start) : new ScriptedPeer(start));
            if (kept) {
                assertEquals(
                        "first", send(peer, "earlier").get(5, TimeUnit.SECONDS).body());
            }
            outcomes.add(send(peer, "present"));
        }
        for (int cut = 0; cut < outcomes.size(); cut++) {
            Outcome outcome = outcomes.get(cut).get(5, TimeUnit.SECONDS);
            Outcome unsealed = new Outcome(outcome.complete(), outcome.status(), "", outcome.body());
            assertEquals(response.outcome(cut, reset), unsealed, "after " + cut + " bytes");
        }
    }
}
