import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A daemon gets SIGTERM while clients on slow links receive long answers. The rule: around planned work, a request that
 * was passed on to a runner gets its complete answer.
 */
final class SlowReaderCase {

    private static final int ANSWER_BYTES = 20_000_000;

    /** At which a client reads, in bytes a millisecond: an answer takes six seconds. */
    private static final int BYTES_PER_MILLI = 3_330;

    private static final String CONFIG = "{\"Version\":7,\"Routes\":[{\"Name\":\"file\",\"Host\":\"site.example\","
            + "\"PathPrefix\":\"/file/\",\"Kind\":\"safe\",\"TimeoutMs\":8000,\"TargetLatencyMs\":400,\"Priority\":2,"
            + "\"Service\":\"app\",\"MaxAttempts\":2,\"AllowAnonymous\":false}],"
            + "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"one\",\"ApiKeys\":[\"key1\"],\"Unit\":\"generate\",\"PlainTokens\":1,"
            + "\"RatePerS\":100000,\"Burst\":100000}]}";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = Trouble.begin();
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Platform platform = new Platform(record, 300_000);
        Fleet fleet = new Fleet(record, platform, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        List<Runner> runners = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Runner runner = new Runner(record, platform, "i-" + number, "app", "");
            runner.answerBytes = ANSWER_BYTES;
            runners.add(runner);
        }
        platform.put("keyed.op", "config", CONFIG);
        try {
            fleet.startAll(300);
        } catch (java.io.IOException exception) {
            record.say("could not run: " + exception.getMessage());
            System.exit(2);
        }
        Times.sleep(3_000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        // The daemons are stopped and started in turn. One client has its answer before the signal. The other one uses an
        // address that the directory gave it before the signal, within its TtlS.
        for (Fleet.Daemon daemon : fleet.daemons()) {
            for (int number = 0; number < 2; number++) {
                if (number == 1) {
                    Times.sleep(7_000);
                    if (trouble) {
                        daemon.terminate();
                    }
                    Times.sleep(1_000);
                }
                Thread client = new Thread(() -> read(record, daemon.ip, whole, cut, other));
                client.start();
                clients.add(client);
            }
            Times.sleep(7_000);
            if (trouble) {
                while (daemon.isAlive()) {
                    Times.sleep(20);
                }
                record.line(daemon.name + " has ended");
                daemon.start(false, 300);
            }
            while (!daemon.isReady()) {
                Times.sleep(100);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say(clients.size() + " requests, " + whole + " whole answers, " + cut
                + " cut after they had been passed on and begun to be answered (LOST), " + other + " others");
        System.exit(whole.get() < 3 ? 2 : cut.get() > 0 ? 1 : 0);
    }

    private static void read(
            Record record, String ip, AtomicInteger whole, AtomicInteger cut, AtomicInteger other) {
        String attempt = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        long sent = System.currentTimeMillis();
        long received = 0;
        String end = "channel closed";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.connect(new InetSocketAddress(ip, 8221), 1_000);
            socket.setSoTimeout(8_000);
            record.line("client sends " + attempt + " GET /file/x to " + ip);
            socket.getOutputStream()
                    .write(("GET /file/x HTTP/1.1\r\nHost: site.example\r\nX-Ragwortpitch-Attempt-Id: " + attempt
                                    + "\r\nX-Ragwortpitch-Deadline-Ms: 8000\r\nAuthorization: Bearer key1\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[50_000];
            long begun = 0;
            while (received < ANSWER_BYTES) {
                int read = in.read(bytes);
                if (read < 0) {
                    break;
                }
                begun = begun == 0 ? System.currentTimeMillis() : begun;
                received += read;
                Times.sleep(begun + received / BYTES_PER_MILLI - System.currentTimeMillis());
            }
        } catch (java.io.IOException exception) {
            end = exception.toString();
        }
        long took = System.currentTimeMillis() - sent;
        if (received >= ANSWER_BYTES) {
            whole.incrementAndGet();
            record.line("client got " + attempt + " whole after " + took + " ms");
        } else if (received > 1_000) {
            cut.incrementAndGet();
            record.say("LOST: " + attempt + " got " + received + " of " + ANSWER_BYTES + " bytes, " + end + " after "
                    + took + " ms of 8000");
        } else {
            other.incrementAndGet();
            record.line("client got " + attempt + " nothing: " + end);
        }
    }
}
