package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Guards against a truncated, malformed or foreign response that is taken for the complete response to a request, and
 * against the reuse of a connection in an unknown state.
 */
class ConnectionPoolTest {

    private static final String COMPLETE =
            "HTTP/1.1 200 OK\\r\\nX-Ragwortpitch-Attempt-Id: {id}\\r\\nContent-Length: 2\\r\\n\\r\\nok";

    private final TestEventLoop loops = new TestEventLoop();

    private int attempts;

    private final List<String> unexpected = new CopyOnWriteArrayList<>();

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

    private String send(String address) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        attempts++;
        String id = "attempt-" + attempts;
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.ATTEMPT, id);
        ByteBuf body = Unpooled.copiedBuffer("body", StandardCharsets.US_ASCII);
        OutboundRequest request = new OutboundRequest("POST", "/x", headers, body, id);
        loops.loop().execute(() -> pool.send(address, request, Long.MAX_VALUE, new Recorder(outcome)));
        return outcome.get(5, TimeUnit.SECONDS);
    }

    private static String unescape(String script) {
        return script.replace("\\r\\n", "\r\n");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                COMPLETE + "|200 ok framed",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n|200 ok framed",
                "HTTP/1.1 204 No Content\\r\\n\\r\\n|204  framed",
                "HTTP/1.1 200 OK\\r\\n\\r\\nok<close>|200 ok unframed",
                "HTTP/1.1 200 OK\\r\\n\\r\\nok<reset>|broken sent",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nok<close>|broken sent",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n<close>|broken sent",
                "what is this\\r\\n\\r\\n<close>|broken sent",
                "<close>|broken sent",
                "<reset>|broken sent",
                "HTTP/1.1 100 Continue\\r\\n\\r\\n" + COMPLETE + "|200 ok framed",
                "HTTP/1.1 200 OK\\r\\nX-Ragwortpitch-Attempt-Id: other\\r\\nContent-Length: 3\\r\\n\\r\\nbad" + COMPLETE
                        + "|200 ok framed"
            })
    void testResponseFramingDeterminesOutcome(String script, String expected) throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(unescape(script))) {
            assertEquals(expected, send(peer.address()));
        }
    }

    @Test
    void testConnectionIsReused() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(unescape(COMPLETE))) {
            send(peer.address());
            send(peer.address());
            assertEquals(1, peer.connections());
            assertTrue(peer.requests().get(1).endsWith("\r\n\r\nbody"));
        }
    }

    /** Guards against an earlier refusal that is written once more, and taken for the answer to the next request. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 503 Busy\\r\\nX-Ragwortpitch-Not-Executed: 1\\r\\nContent-Length: 0\\r\\n\\r\\n|broken sent",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nno|broken sent",
                "HTTP/1.1 500 Error\\r\\nX-Ragwortpitch-Attempt-Id:\\r\\nContent-Length: 0\\r\\n\\r\\n|broken sent",
                "HTTP/1.1 503 Busy\\r\\nX-Ragwortpitch-Attempt-Id: other\\r\\nX-Ragwortpitch-Not-Executed: 1\\r\\n"
                        + "Content-Length: 0\\r\\n\\r\\n" + COMPLETE + "|200 ok framed"
            })
    void testResponseOnAKeptConnectionIsIdentified(String script, String expected) throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(unescape(COMPLETE), unescape(script))) {
            assertEquals("200 ok framed", send(peer.address()));
            assertEquals(expected, send(peer.address()));
            assertEquals(1, peer.connections());
        }
    }

    @Test
    void testConnectionWithExcessBytesIsNotReused() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(unescape(COMPLETE + COMPLETE), unescape(COMPLETE))) {
            assertEquals("200 ok framed", send(peer.address()));
            Thread.sleep(300);
            assertEquals("200 ok framed", send(peer.address()));
            assertEquals(2, peer.connections());
        }
    }

    @Test
    void testRefusedConnectionIsReportedAsUnsent() throws IOException, Exception {
        int free;
        try (ServerSocket socket = new ServerSocket(0)) {
            free = socket.getLocalPort();
        }
        assertEquals("broken unsent", send("127.0.0.1:" + free));
    }

    @ParameterizedTest
    @CsvSource({"timeout=5, 4500", "'max=3, timeout=1', 500", "timeout=0, 0"})
    void testKeepAliveTimeoutOfPeerIsHonored(String header, long millis) {
        assertEquals(millis, KeepAlive.limitMillis(header));
        assertEquals(Long.MAX_VALUE, KeepAlive.limitMillis(null));
    }

    /** Guards against a response that belongs to no pending request and leaves no trace. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK\\r\\nX-Ragwortpitch-Attempt-Id: other\\r\\nContent-Length: 0\\r\\n\\r\\n" + COMPLETE
                        + "|attempt-1 attempt-2 other 200 OTHER_REQUEST",
                "HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n\\r\\n" + COMPLETE + "|attempt-1 attempt-2  503 UNKNOWN"
            })
    void testUnexpectedResponseIsReported(String script, String expected) throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(unescape(COMPLETE), unescape(script))) {
            send(peer.address());
            send(peer.address());
            assertEquals(expected, unexpected.get(0));
        }
    }

    /**
     * Renders responses that were not taken for the answer to a request as text.
     */
    private record UnexpectedResponses(List<String> lines) implements ConnectionObserver {

        @Override
        public void onHeard(String address) {}

        @Override
        public void onConnectFailed(String address) {}

        @Override
        public void onResponse(String address, int status, HttpHeaders headers) {}

        @Override
        public void onUnexpectedResponse(UnexpectedResponse response) {
            lines.add(String.join(
                    " ",
                    response.previousId(),
                    response.pendingId(),
                    response.receivedId(),
                    Integer.toString(response.status()),
                    response.origin().name()));
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
            outcome.complete(text + (framed ? " framed" : " unframed"));
        }

        @Override
        public void onFailure(CallFailure failure) {
            outcome.complete("broken " + (failure.sent() ? "sent" : "unsent"));
        }
    }
}
