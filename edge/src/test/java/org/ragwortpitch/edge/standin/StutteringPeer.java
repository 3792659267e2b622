package org.ragwortpitch.edge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BinaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.adapter.Headers;

/**
 * A TCP server that answers each request with its attempt id and number, and writes other bytes around the answers of a
 * connection, such as an earlier one once more.
 */
public final class StutteringPeer implements AutoCloseable {

    /** In what is written: wait for 150 ms before the rest. */
    public static final String LATER = "<later>";

    private static final long LATER_MILLIS = 150;

    private static final Pattern ATTEMPT = Pattern.compile("(?i)" + Headers.ATTEMPT + ": *(\\S+)");

    private final ServerSocket listening;
    private final BinaryOperator<String> stutter;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile int connections;

    /**
     * Starts a server.
     *
     * @param stutter what is written where an answer is due, of the answer before on the connection, empty for the
     *                first, and the present one
     */
    public StutteringPeer(BinaryOperator<String> stutter) throws IOException {
        this.stutter = stutter;
        this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        inBackground(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    public int connections() {
        return connections;
    }

    public List<String> requests() {
        return requests;
    }

    /**
     * Returns an answer without its attempt id.
     */
    public static String withoutId(String answer) {
        return answer.replaceFirst(Headers.ATTEMPT + ": [^\r]*\r\n", "");
    }

    /**
     * Returns the body of the answer to a request.
     *
     * @param number of the request among all that the server gets, from 1
     */
    public static String body(String attemptId, int number) {
        return "answer " + number + " to " + attemptId;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            connections++;
            inBackground(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            String previous = "";
            while (true) {
                String request = readRequest(in);
                String present;
                synchronized (this) {
                    requests.add(request);
                    present = answer(request, requests.size());
                }
                write(socket, stutter.apply(previous, present).split(LATER, -1));
                previous = present;
            }
        }
    }

    private static String answer(String request, int number) {
        Matcher attempt = ATTEMPT.matcher(request);
        String id = attempt.find() ? attempt.group(1) : "";
        String body = body(id, number);
        String idLine = id.isEmpty() ? "" : Headers.ATTEMPT + ": " + id + "\r\n";
        return "HTTP/1.1 200 OK\r\n" + idLine + Headers.SEAL + ": seal-" + number + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + (request.startsWith("HEAD ") ? "" : body);
    }

    private static void write(Socket socket, String[] parts) throws IOException, InterruptedException {
        for (int part = 0; part < parts.length; part++) {
            if (part > 0) {
                Thread.sleep(LATER_MILLIS);
            }
            socket.getOutputStream().write(parts[part].getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        String lower = head.toString().toLowerCase(Locale.ROOT);
        int at = lower.indexOf("content-length:");
        int length = at < 0
                ? 0
                : Integer.parseInt(
                        lower.substring(at + 15, lower.indexOf("\r\n", at)).trim());
        return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    private static void inBackground(Step step) {
        Thread thread = new Thread(() -> step.runUntilClosed(), "stuttering-peer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }

    /**
     * Work that ends when a socket is closed.
     */
    private interface Step {

        void run() throws IOException, InterruptedException;

        default void runUntilClosed() {
            try {
                run();
            } catch (IOException | InterruptedException exception) {
                // The other side closed the connection, or the test is over.
                return;
            }
        }
    }
}
