package org.ragwortpitch.edge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.adapter.Headers;

/**
 * A TCP server that answers each request with a script: the next of a list, of which the last one repeats, or the one
 * that a function returns for the request. A script is the bytes to send, with the request's attempt id for
 * {@link #ID}, optionally followed by a marker that closes or resets the connection.
 */
public final class ScriptedPeer implements AutoCloseable {

    /** Marker at the end of a script: close the connection in order, with a FIN. */
    public static final String CLOSE = "<close>";

    /** Marker at the end of a script: reset the connection. */
    public static final String RESET = "<reset>";

    /** Placeholder of the attempt id of the request that is answered. */
    public static final String ID = "{id}";

    private static final Pattern ATTEMPT = Pattern.compile("(?i)" + Headers.ATTEMPT + ": *(\\S+)");

    private static final int BACKLOG = 50;

    private final ServerSocket listening;
    private final UnaryOperator<String> scriptFor;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile int connections;

    public ScriptedPeer(String... scripts) throws IOException {
        this(inOrder(new CopyOnWriteArrayList<>(scripts)));
    }

    /**
     * Creates a server that chooses its answers.
     *
     * @param scriptFor returns the script for a request, which has its head and its body
     */
    public ScriptedPeer(UnaryOperator<String> scriptFor) throws IOException {
        this.scriptFor = scriptFor;
        this.listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "scripted-peer");
        thread.setDaemon(true);
        thread.start();
    }

    private static UnaryOperator<String> inOrder(List<String> scripts) {
        return request -> scripts.size() > 1 ? scripts.remove(0) : scripts.get(0);
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

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                connections++;
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                String request = readRequest(in);
                requests.add(request);
                String script = scriptFor.apply(request);
                Matcher attempt = ATTEMPT.matcher(request);
                String bytes = script.replace(CLOSE, "")
                        .replace(RESET, "")
                        .replace(ID, attempt.find() ? attempt.group(1) : "");
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (script.endsWith(RESET)) {
                    Thread.sleep(50);
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (script.endsWith(CLOSE)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException exception) {
            // The client closed the connection, or the test is over.
            return;
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
        String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
        int at = lower.indexOf("content-length:");
        int length = at < 0
                ? 0
                : Integer.parseInt(
                        lower.substring(at + 15, lower.indexOf("\r\n", at)).trim());
        return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
