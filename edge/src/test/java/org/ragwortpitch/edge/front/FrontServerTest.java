package org.ragwortpitch.edge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Guards against request smuggling, truncated streams that look complete, requests of vanished callers that run on, and
 * slow or idle callers that hold connections.
 */
class FrontServerTest {

    private static final CallerLimits LIMITS = new CallerLimits(1_000, 100, 300, 1_000);

    /** Exceeds what the kernel buffers for a connection on loopback. */
    private static final int LONG_BYTES = 40_000_000;

    private final TestEventLoop loops = new TestEventLoop();

    private final List<String> handled = java.util.Collections.synchronizedList(new ArrayList<>());

    private final CountDownLatch cancelled = new CountDownLatch(1);

    private final FrontServer server = new FrontServer(
            loops.loop(),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> LIMITS,
            this::handle,
            TestEventLoop.CLOCK_MILLIS);

    @AfterEach
    void close() {
        server.close();
        loops.close();
    }

    private Cancellation handle(CallerRequest request, CallerResponse response) {
        String body = request.body().toString(StandardCharsets.US_ASCII);
        handled.add(request.method() + " " + request.target() + " " + body);
        switch (request.path()) {
            case "/wait" -> {
                return cancelled::countDown;
            }
            case "/stream" -> {
                response.beginStream(200, new DefaultHttpHeaders());
                response.sendChunk(Unpooled.copiedBuffer("one", StandardCharsets.US_ASCII));
                response.endStream();
            }
            case "/broken" -> {
                response.beginStream(200, new DefaultHttpHeaders());
                response.sendChunk(Unpooled.copiedBuffer("one", StandardCharsets.US_ASCII));
                loops.loop().schedule(response::abort, 50, TimeUnit.MILLISECONDS);
            }
            case "/long" -> response.sendFull(
                    200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[LONG_BYTES]));
            case "/throws" -> throw new IllegalStateException("handler failed");
            default -> response.sendFull(
                    200, new DefaultHttpHeaders(), Unpooled.copiedBuffer("ok", StandardCharsets.US_ASCII));
        }
        return Cancellation.NONE;
    }

    /**
     * Sends bytes, with ~ for CRLF, and reads until the server closes the connection or is silent for three seconds.
     */
    private String exchange(String bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(bytes.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder text = new StringBuilder();
            try {
                for (int next = socket.getInputStream().read();
                        next >= 0;
                        next = socket.getInputStream().read()) {
                    text.append((char) next);
                }
                text.append("<closed>");
            } catch (java.net.SocketTimeoutException exception) {
                text.append("<open>");
            }
            return text.toString();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST /a HTTP/1.1~Content-Length: 3~Transfer-Encoding: chunked~~0~~|400",
                "POST /a HTTP/1.1~Content-Length: 3~Content-Length: 4~~abcd|400",
                "POST /a HTTP/1.1~Content-Length: +3~~abc|400",
                "POST /a HTTP/1.1~Transfer-Encoding: gzip, chunked~~0~~|400",
                "POST /a HTTP/1.1~Transfer-Encoding: xchunked~~0~~|400",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~~zz~~|400",
                "GET /a HTTP/1.1~Host: a~Host: b~~|400",
                "nonsense~~|400",
                "POST /a HTTP/1.1~Content-Length: 101~~|413",
                "GET /a HTTP/1.1~Slow: |408"
            })
    void testInvalidRequestIsRefusedWithoutReachingTheHandler(String bytes, int status) throws IOException {
        String response = exchange(bytes);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertTrue(response.endsWith("<closed>"), response);
        assertTrue(handled.isEmpty(), handled.toString());
    }

    /** Guards against a caller that gets a closed connection and no log line, as the handler fails. */
    @Test
    void testRequestWhoseHandlerFailsIsAnswered() throws IOException {
        String response = exchange("GET /throws HTTP/1.1~Host: a~~GET /a HTTP/1.1~Host: a~Connection: close~~");
        assertTrue(response.startsWith("HTTP/1.1 500"), response);
        assertTrue(response.contains("HTTP/1.1 200"), response);
    }

    @Test
    void testOversizedHeadersAreRefused() throws IOException {
        assertTrue(exchange("GET /a HTTP/1.1~X: " + "x".repeat(1_200) + "~~").startsWith("HTTP/1.1 431"));
    }

    @Test
    void testRequestInsideABodyIsNotHandledAsARequest() throws IOException {
        String hidden = "GET /hidden HTTP/1.1~~";
        exchange("POST /a HTTP/1.1~Content-Length: 24~~" + hidden);
        assertEquals(List.of("POST /a GET /hidden HTTP/1.1\r\n\r\n"), handled);
    }

    @Test
    void testPipelinedRequestsAreAnsweredInOrder() throws IOException {
        String response =
                exchange("GET /a HTTP/1.1~~POST /b HTTP/1.1~Transfer-Encoding: chunked~~3~xyz~0~~GET /c HTTP/1.1~~");
        assertEquals(3, response.split("HTTP/1.1 200").length - 1);
        assertEquals(List.of("GET /a ", "POST /b xyz", "GET /c "), handled);
    }

    /** Guards against a body after the head that was asked for, which callers read as their next response. */
    @ParameterizedTest
    @ValueSource(strings = {"/a", "/stream", "/throws"})
    void testResponseToARequestForTheHeadHasNoBody(String path) throws IOException {
        String response = exchange("HEAD " + path + " HTTP/1.1~Host: a~~GET /b HTTP/1.1~Host: a~~");
        String next = response.substring(response.indexOf("\r\n\r\n") + 4);
        assertTrue(next.startsWith("HTTP/1.1 200 OK"), response);
    }

    @Test
    void testStreamEndsWithItsLastChunk() throws IOException {
        assertTrue(exchange("GET /stream HTTP/1.1~~").contains("3\r\none\r\n0\r\n\r\n"));
    }

    @Test
    void testAbortedStreamHasNoLastChunk() throws IOException {
        String response = exchange("GET /broken HTTP/1.1~~");
        assertTrue(response.endsWith("3\r\none\r\n<closed>"), response);
    }

    @Test
    void testDisconnectCancelsTheRequest() throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            socket.getOutputStream().write("GET /wait HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(100);
        }
        assertTrue(cancelled.await(2, TimeUnit.SECONDS));
    }

    @Test
    void testDrainingServerClosesAfterTheResponse() throws IOException {
        loops.loop().execute(server::drain);
        String response = exchange("GET /a HTTP/1.1~~");
        assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), response);
        assertTrue(response.endsWith("<closed>"), response);
    }

    @Test
    void testIdleConnectionIsClosed() throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            socket.setSoTimeout(3_000);
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /**
     * Guards against a response that is cut while its caller still receives it, as the connection seems idle: by a
     * planned stop, or after the idle timeout.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testResponseThatIsStillReceivedIsNotCut(boolean stopping) throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            socket.getOutputStream().write("GET /long HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(3_000);
            byte[] piece = new byte[LONG_BYTES / 20];
            long received = 0;
            int read = 1;
            while (read > 0 && received < LONG_BYTES) {
                read = socket.getInputStream()
                        .readNBytes(piece, 0, (int) Math.min(piece.length, LONG_BYTES - received));
                received += read;
                if (stopping) {
                    loops.loop().submit(server::closeIdle).get(3, TimeUnit.SECONDS);
                }
                Thread.sleep(LIMITS.idleTimeoutMillis() / 10);
            }
            assertTrue(received >= LONG_BYTES, "received " + received + " of " + LONG_BYTES + " bytes");
        }
    }

    /** Guards against connections of callers that don't read, and that stay open for good. */
    @Test
    void testConnectionOfACallerThatDoesNotReadIsClosed() throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            socket.getOutputStream().write("GET /long HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            long end = TestEventLoop.CLOCK_MILLIS.getAsLong() + 5 * LIMITS.idleTimeoutMillis();
            while (handled.isEmpty() || server.connections() > 0) {
                assertTrue(TestEventLoop.CLOCK_MILLIS.getAsLong() < end, "the connection is still open");
                Thread.sleep(20);
            }
        }
    }

    /** Guards against requests that run although their callers have left while the event loop was busy. */
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void testRequestReadLateRunsOnlyIfItsCallerHasStayed(boolean leaves, int runs) throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        loops.loop().execute(() -> {
            busy.countDown();
            awaitWithoutInterrupt(left);
        });
        assertTrue(busy.await(5, TimeUnit.SECONDS));
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
        socket.getOutputStream().write("GET /wait HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        if (leaves) {
            socket.close();
        }
        // Longer than the time after which the server takes its event loop for stalled.
        Thread.sleep(600);
        left.countDown();
        exchange("GET /a HTTP/1.1~Connection: close~~");
        loops.loop().submit(() -> {}).get(5, TimeUnit.SECONDS);
        assertEquals(runs, handled.stream().filter("GET /wait "::equals).count());
        socket.close();
    }

    private static void awaitWithoutInterrupt(CountDownLatch latch) {
        try {
            assertTrue(latch.await(10, TimeUnit.SECONDS));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
