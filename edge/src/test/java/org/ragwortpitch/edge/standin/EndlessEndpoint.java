package org.ragwortpitch.edge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A faulty endpoint that answers each request with bytes that never end, until the connection is closed.
 */
public final class EndlessEndpoint implements AutoCloseable {

    /** What it sends without end. */
    public enum Kind {
        /** Bytes that are no answer. */
        NOISE(""),
        /** Headers. */
        HEADERS("HTTP/1.1 200 OK\r\n"),
        /** A body of unknown length. */
        BODY("HTTP/1.1 200 OK\r\nX-Ragwortpitch-Response-Seal: s\r\n\r\n"),
        /** A refusal with a long body. */
        REFUSAL("HTTP/1.1 503 Busy\r\nContent-Length: 100000000000\r\n\r\n");

        private final String start;

        Kind(String start) {
            this.start = start;
        }
    }

    private static final int HEAD_BYTES = 8_192;

    private static final byte[] PIECE = "a: b\r\n".repeat(2_000).getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket listening;
    private final Kind kind;
    private final AtomicLong answered = new AtomicLong();

    public EndlessEndpoint(Kind kind) throws IOException {
        this.kind = kind;
        this.listening = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        inBackground(this::accept);
    }

    public int port() {
        return listening.getLocalPort();
    }

    /**
     * Returns how many requests it has begun to answer.
     */
    public long answered() {
        return answered.get();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            inBackground(() -> answer(socket));
        }
    }

    private void answer(Socket socket) throws IOException {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            if (in.read(new byte[HEAD_BYTES]) < 0) {
                return;
            }
            answered.incrementAndGet();
            out.write(kind.start.getBytes(StandardCharsets.US_ASCII));
            while (true) {
                out.write(kind == Kind.NOISE ? new byte[HEAD_BYTES] : PIECE);
            }
        }
    }

    private static void inBackground(Action action) {
        Thread thread = new Thread(
                () -> {
                    try {
                        action.run();
                    } catch (IOException exception) {
                        // The daemon has closed the connection, or the test is over.
                        return;
                    }
                },
                "endless-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }

    @FunctionalInterface
    private interface Action {

        void run() throws IOException;
    }
}
