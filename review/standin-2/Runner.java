import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A server of a plain service: it runs each request for a while and answers it with a seal. */
final class Runner implements AutoCloseable {

    private static final long WORK_MILLIS = 20;

    /** A request that began to run. */
    record Run(long atMillis, String attempt, String method, String target) {}

    private final String id;
    private final String service;
    private final ServerSocket server;
    private final long bornMillis = System.currentTimeMillis();
    private final List<Run> runs = new ArrayList<>();
    Runner(String id, String service) throws IOException {
        this.id = id;
        this.service = service;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> Threads.accept(server, this::serve));
    }

    /** Returns the entry that the server writes into the store. */
    String entry(String zone) {
        return entry(zone, "ready");
    }

    String entry(String zone, String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"Zone\":\"" + zone
                + "\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":"
                + bornMillis + "}";
    }

    int port() {
        return server.getLocalPort();
    }

    String id() {
        return id;
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    synchronized Optional<Run> run(String attempt) {
        return runs.stream().filter(run -> run.attempt().equals(attempt)).findFirst();
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            answer(request, out);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String attempt = request.header("x-ragwortpitch-attempt-id");
        headers.put("X-Ragwortpitch-Instance-Id", id);
        if (!attempt.isEmpty()) {
            headers.put("X-Ragwortpitch-Attempt-Id", attempt);
        }
        String target = request.header("x-ragwortpitch-target-instance");
        if (!target.isEmpty() && !target.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return;
        }
        synchronized (this) {
            runs.add(new Run(
                    Threads.millis(),
                    attempt,
                    request.word(0),
                    request.word(1)));
        }
        Threads.sleep(WORK_MILLIS);
        headers.put("X-Ragwortpitch-Response-Seal", "seal-" + attempt);
        Http.write(
                out, "HTTP/1.1 200 OK", headers, ("answer to " + attempt + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
