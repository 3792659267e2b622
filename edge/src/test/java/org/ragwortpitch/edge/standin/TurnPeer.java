package org.ragwortpitch.edge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.ragwortpitch.adapter.Headers;

/**
 * A TCP server that plays one turn for each request. The target of a request is the number of its turn.
 */
public final class TurnPeer implements AutoCloseable {

    private static final int WHOLE = 1_000;

    private static final long CLOSE_MILLIS = 10;

    private final ServerSocket listening;
    private final List<Turn> turns;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

    public TurnPeer(List<Turn> turns) throws IOException {
        this.turns = turns;
        this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        inBackground(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /**
     * Returns the seal of the answer to a request.
     */
    public static String seal(int number) {
        return "seal-" + number;
    }

    /**
     * Returns the whole body of the answer to a request.
     */
    public static String body(int number) {
        return "answer to " + number + "\r\n" + Integer.toString(number).repeat(20) + "\n";
    }

    /**
     * Returns the attempt id of a request; empty for a call.
     */
    public static String attemptId(Turn turn, int number) {
        return turn.call() ? "" : "attempt-" + number;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            sockets.add(socket);
            inBackground(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            List<Integer> earlier = new ArrayList<>();
            while (true) {
                int number = readNumber(socket.getInputStream());
                Turn turn = turns.get(number);
                socket.getOutputStream().write(bytes(turn, number, earlier).getBytes(StandardCharsets.ISO_8859_1));
                if (turn.closes() || turn.framing() == Framing.WITHOUT_LENGTH) {
                    Thread.sleep(CLOSE_MILLIS);
                    return;
                }
                earlier.add(number);
            }
        }
    }

    private String bytes(Turn turn, int number, List<Integer> earlier) {
        StringBuilder bytes = new StringBuilder();
        if (!earlier.isEmpty()) {
            turn.before().forEach(extra -> bytes.append(bytes(extra, earlier)));
        }
        String head = head(turn, number, true, turn.framing());
        String answer = head + framedBody(number, turn.framing());
        int written = written(answer, turn.partial());
        bytes.append(answer, 0, written);
        boolean withinBody = written >= head.length() && written < answer.length();
        if (!withinBody && turn.framing() != Framing.WITHOUT_LENGTH) {
            List<Integer> all = new ArrayList<>(earlier);
            if (written == answer.length()) {
                all.add(number);
            }
            turn.after().stream().filter(extra -> !all.isEmpty()).forEach(extra -> bytes.append(bytes(extra, all)));
        }
        return bytes.toString();
    }

    private String bytes(ExtraBytes extra, List<Integer> earlier) {
        String whole =
                switch (extra.kind()) {
                    case COPY -> copy(extra, earlier.get(Math.max(0, earlier.size() - extra.back())));
                    case REFUSAL -> "HTTP/1.1 503 Busy\r\n" + Headers.NOT_EXECUTED + ": 1\r\nContent-Length: 0\r\n\r\n";
                    case INTERIM -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
                    case JUNK -> "junk HTTP/1.1";
                };
        return whole.substring(0, written(whole, extra.partial()));
    }

    private String copy(ExtraBytes extra, int number) {
        return head(turns.get(number), number, extra.identified(), extra.framing())
                + framedBody(number, extra.framing());
    }

    private static int written(String whole, int partial) {
        return whole.length() * partial / WHOLE;
    }

    private static String head(Turn turn, int number, boolean identified, Framing framing) {
        String id = attemptId(turn, number);
        String idLine = identified && !id.isEmpty() ? Headers.ATTEMPT + ": " + id + "\r\n" : "";
        String sealLine = Headers.SEAL + ": " + seal(number) + "\r\n";
        return "HTTP/1.1 " + turn.status() + " Some reason\r\n"
                + (turn.sealFirst() ? sealLine + idLine : idLine + sealLine)
                + framingLine(number, framing) + "\r\n";
    }

    private static String framingLine(int number, Framing framing) {
        int length = body(number).length();
        return switch (framing) {
            case LENGTH -> "Content-Length: " + length + "\r\n";
            case CHUNKED -> "Transfer-Encoding: chunked\r\n";
            case WITHOUT_LENGTH -> "";
            case LENGTH_TOO_LONG -> "Content-Length: " + (length + 9) + "\r\n";
            case LENGTH_TOO_SHORT -> "Content-Length: " + (length - 9) + "\r\n";
        };
    }

    private static String framedBody(int number, Framing framing) {
        String body = body(number);
        if (framing != Framing.CHUNKED) {
            return body;
        }
        return "5\r\n" + body.substring(0, 5) + "\r\n" + Integer.toHexString(body.length() - 5) + "\r\n"
                + body.substring(5) + "\r\n0\r\n\r\n";
    }

    private static int readNumber(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        return Integer.parseInt(head.substring(head.indexOf("/") + 1, head.indexOf(" HTTP/")));
    }

    private static void inBackground(Step step) {
        Thread thread = new Thread(() -> step.runUntilClosed(), "turn-peer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
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
