package org.ragwortpitch.soak;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpitch.adapter.Headers;

/**
 * A TCP proxy before an endpoint that writes some of the answers of a connection once more: along with the answer,
 * while the connection is idle, or where the next answer is due.
 */
final class StutteringLink implements AutoCloseable {

    /** Of this many answers, one is written once more. */
    private static final int EXTRA_EVERY = 3;

    private static final long IDLE_MILLIS = 5;

    private static final int CHUNK_BYTES = 16_384;

    private static final int NO_LENGTH = -1;

    private final int target;
    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Random random;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger extraAnswers = new AtomicInteger();
    private volatile ExtraAnswer extra = ExtraAnswer.NONE;

    /** When the second copy of an answer is written. */
    private enum Moment {
        AT_ONCE,
        IDLE,
        NEXT_DUE
    }

    StutteringLink(int target, long seed) throws IOException {
        this.target = target;
        this.random = new Random(seed);
        start(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    /** Sets what is written a second time from now on. */
    void stutter(ExtraAnswer kind) {
        extra = kind;
    }

    int extraAnswers() {
        return extraAnswers.get();
    }

    private void accept() throws IOException {
        while (true) {
            Socket daemon = listening.accept();
            start(() -> connect(daemon));
        }
    }

    private void connect(Socket daemon) throws IOException, InterruptedException {
        try (daemon;
                Socket endpoint = new Socket(InetAddress.getLoopbackAddress(), target)) {
            open.add(daemon);
            open.add(endpoint);
            start(() -> pump(daemon, endpoint, this::forwardRequests));
            pump(endpoint, daemon, this::forwardAnswers);
        }
    }

    private void pump(Socket from, Socket to, Pump pump) throws IOException, InterruptedException {
        try (from;
                to) {
            to.setTcpNoDelay(true);
            pump.forward(new BufferedInputStream(from.getInputStream()), to.getOutputStream());
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }

    private void forwardRequests(InputStream in, OutputStream out) throws IOException {
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
            out.write(chunk, 0, count);
        }
    }

    private void forwardAnswers(InputStream in, OutputStream daemon) throws IOException, InterruptedException {
        byte[] due = new byte[0];
        BufferedOutputStream out = new BufferedOutputStream(daemon);
        while (true) {
            Answer answer = new Answer(in, out);
            answer.readHead();
            out.write(due);
            answer.forward();
            due = writeExtra(answer.text(), out);
            out.flush();
        }
    }

    /** Writes an answer once more, or returns what is to be written before the next answer. */
    private byte[] writeExtra(String answer, BufferedOutputStream out) throws IOException, InterruptedException {
        byte[] copy;
        Moment moment;
        synchronized (random) {
            copy = extra == ExtraAnswer.NONE || random.nextInt(EXTRA_EVERY) > 0 ? new byte[0] : drawCopy(answer);
            moment = Moment.values()[random.nextInt(Moment.values().length)];
        }
        if (copy.length == 0 || moment == Moment.NEXT_DUE) {
            return copy;
        }
        if (moment == Moment.IDLE) {
            out.flush();
            Thread.sleep(IDLE_MILLIS);
        }
        out.write(copy);
        return new byte[0];
    }

    private byte[] drawCopy(String answer) {
        ExtraAnswer kind = extra == ExtraAnswer.MIXED
                ? ExtraAnswer.values()[1 + random.nextInt(ExtraAnswer.MIXED.ordinal() - 1)]
                : extra;
        extraAnswers.incrementAndGet();
        boolean withId = kind == ExtraAnswer.WITH_ID || kind == ExtraAnswer.CUT && random.nextBoolean();
        String copy = withId ? answer : answer.replaceFirst("(?i)" + Headers.ATTEMPT + ": [^\r]*\r\n", "");
        int length = kind == ExtraAnswer.CUT ? 1 + random.nextInt(copy.length() - 1) : copy.length();
        return copy.substring(0, length).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void start(Task task) {
        Thread thread = new Thread(task::runUntilClosed, "stuttering-link");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** An answer that is forwarded as it arrives, and kept. */
    private static final class Answer {

        private final InputStream in;
        private final BufferedOutputStream out;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        Answer(InputStream in, BufferedOutputStream out) {
            this.in = in;
            this.out = out;
        }

        String text() {
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }

        void readHead() throws IOException {
            String line = readLine();
            while (!line.isEmpty()) {
                line = readLine();
            }
        }

        /** Writes the head that was read, and then the body. */
        void forward() throws IOException {
            String head = text().toLowerCase(Locale.ROOT);
            out.write(bytes.toByteArray());
            if (head.contains("transfer-encoding: chunked")) {
                forwardChunks();
            } else {
                forward(contentLength(head));
            }
        }

        private static int contentLength(String head) {
            return Arrays.stream(head.split("\r\n"))
                    .filter(line -> line.startsWith("content-length:"))
                    .mapToInt(line -> Integer.parseInt(line.substring(15).trim()))
                    .findFirst()
                    .orElse(NO_LENGTH);
        }

        private void forwardChunks() throws IOException {
            int length;
            do {
                flushBeforeWait();
                int start = bytes.size();
                length = Integer.parseInt(readLine(), 16);
                out.write(bytes.toByteArray(), start, bytes.size() - start);
                forward(length + 2);
            } while (length > 0);
        }

        /** Forwards a number of bytes, or all until the endpoint closes the connection. */
        private void forward(int length) throws IOException {
            for (int count = 0; count != length; count++) {
                flushBeforeWait();
                out.write(readByte());
            }
        }

        private void flushBeforeWait() throws IOException {
            if (in.available() == 0) {
                out.flush();
            }
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                line.append((char) readByte());
            }
            return line.substring(0, line.length() - 2);
        }

        private int readByte() throws IOException {
            int next = in.read();
            if (next < 0) {
                out.flush();
                throw new IOException("the endpoint closed the connection");
            }
            bytes.write(next);
            return next;
        }
    }

    /** Forwards one direction of a connection until it ends. */
    private interface Pump {

        void forward(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /** Work that ends when a socket is closed. */
    private interface Task {

        void run() throws IOException, InterruptedException;

        default void runUntilClosed() {
            try {
                run();
            } catch (IOException | InterruptedException exception) {
                // A side closed its connection, or the run is over.
                return;
            }
        }
    }
}
