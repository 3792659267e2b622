import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound runner of a plain service or of a model, which registers itself in the store and reports there. */
final class Runner implements AutoCloseable {

    private final Record record;
    private final Platform platform;
    private final HttpServer server;
    private final String id;
    private final String service;
    private final String stage;
    private final long born = System.currentTimeMillis();
    private long sequence;
    private volatile boolean stopped;

    /** Attempt ids of the requests that it began to run, in order. */
    final List<String> ran = new CopyOnWriteArrayList<>();

    /** Length of the answers of a plain service; 0 for a short one. */
    volatile int answerBytes;

    /** The share of the requests that fail after they have run: it answers them with 503. */
    volatile double failedShare;

    /** The share of the streams that it stops in the middle of an event; it ends such an answer as usual. */
    volatile double stoppedShare;

    /** Attempt ids of the streams that it stopped so. */
    final List<String> stoppedStreams = new CopyOnWriteArrayList<>();

    static final int EVENTS = 5;

    Runner(Record record, Platform platform, String id, String service, String stage) throws IOException {
        this.record = record;
        this.platform = platform;
        this.id = id;
        this.service = service;
        this.stage = stage;
        server = Http.serve("127.0.0.1", 0, this::handle);
        register();
        Thread reports = new Thread(() -> {
            while (!stopped) {
                Times.sleep(1_000);
                register();
            }
        });
        reports.setDaemon(true);
        reports.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    int port() {
        return server.getAddress().getPort();
    }

    private synchronized void register() {
        String entry = "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:"
                + server.getAddress().getPort() + "\",\"Zone\":\"a\",\"Version\":\"1\",\"Slots\":64,\"State\":\"ready\""
                + ",\"ColdRemainingMs\":0,\"Sequence\":" + ++sequence + ",\"born\":" + born
                + (stage.isEmpty()
                        ? ""
                        : ",\"Stage\":\"" + stage
                                + "\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]")
                + "}";
        platform.put("keyed.servers", "servers/" + id, entry);
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String attempt = exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Attempt-Id");
        if (attempt != null) {
            exchange.getResponseHeaders().set("X-Ragwortpitch-Attempt-Id", attempt);
        }
        if (exchange.getRequestURI().getPath().equals("/report")) {
            Http.json(exchange, 200, java.util.Map.of("Stage", stage, "Busy", false, "Sequence", 0));
            return;
        }
        if (!id.equals(exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Target-Instance"))) {
            exchange.getResponseHeaders().set("X-Ragwortpitch-Not-Executed", "1");
            Http.answer(exchange, 421, null, new byte[0]);
            return;
        }
        ran.add(attempt);
        record.line("runner " + id + " runs " + attempt + " of "
                + exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Tenant"));
        exchange.getResponseHeaders().set("X-Ragwortpitch-Response-Seal", "seal." + id + "." + attempt);
        if (exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Token-Usage") == null) {
            Times.sleep(15);
            int status = java.util.concurrent.ThreadLocalRandom.current().nextDouble() < failedShare ? 503 : 200;
            record.line("runner " + id + " answers " + attempt + " " + status);
            if (answerBytes > 0) {
                Http.answer(exchange, 200, "application/octet-stream", new byte[answerBytes]);
                return;
            }
            Http.answer(exchange, status, "text/plain", ("done " + attempt).getBytes(StandardCharsets.UTF_8));
            return;
        }
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        boolean stops = java.util.concurrent.ThreadLocalRandom.current().nextDouble() < stoppedShare;
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            Times.sleep(20);
            if (stops && event == EVENTS - 1) {
                record.line("runner " + id + " stops " + attempt + " in event " + event);
                stoppedStreams.add(attempt);
                out.write(("id: " + event + "\nda").getBytes(StandardCharsets.UTF_8));
                break;
            }
            out.write(("id: " + event + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        out.close();
    }

    @Override
    public void close() {
        stopped = true;
        server.stop(0);
    }
}
