import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Two of three servers leave, without a word but the end of their entries, while one partition of the store is down. */
final class DrainCase {

    private static final long DRAIN_MILLIS = 2_000;

    private static final long PARTITION_DOWN_MILLIS = 4_500;

    private static final int CLIENTS = 8;

    private static final byte[] BODY = "one seat".getBytes(StandardCharsets.UTF_8);

    private DrainCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        try (Platform platform = new Platform(true);
                Runner staying = new Runner("i-1", Deployment.SERVICE);
                Runner second = new Runner("i-2", Deployment.SERVICE);
                Runner third = new Runner("i-3", Deployment.SERVICE)) {
            for (Runner runner : List.of(staying, second, third)) {
                platform.put("keyed.servers", runner.id(), runner.entry("z1"));
            }
            platform.put(
                    "keyed.op",
                    "config",
                    Deployment.version(
                            1, Deployment.key(Deployment.KEY), Deployment.route("book", "unsafe", 2_000)));
            int view = platform.view(Map.of());
            String store = "127.0.0.1:" + view;
            try (Daemon daemon = new Daemon(
                    root, directory, "front-z1-1", "z1", Addresses.next(), store, platform.address(), true)) {
                daemon.start(true);
                daemon.awaitReady(30_000);
                Threads.sleep(3_000);
                start(record, daemon);
                Threads.sleep(1_000);
                if (trouble) {
                    record.add("the partition of the operator's topic is down: its calls are answered with 503");
                    platform.down("keyed.op");
                }
                Threads.sleep(1_000);
                long gone = 0;
                for (Runner runner : List.of(second, third)) {
                    gone = platform.put("keyed.servers", runner.id(), "");
                    record.add("the entry of " + runner.id() + " is removed; it serves a few seconds more");
                }
                Threads.sleep(PARTITION_DOWN_MILLIS - 1_000);
                platform.down("");
                record.add("the partition is up");
                Threads.sleep(4_000);
                Optional<Long> read = platform.readMillis(view, gone);
                return read.isEmpty() ? 2 : check(record, read.get(), List.of(second, third));
            }
        }
    }

    /** Starts clients that send bookings one after the other. */
    private static void start(Record record, Daemon daemon) {
        for (int client = 0; client < CLIENTS; client++) {
            String name = "c" + client + "-";
            Threads.start(() -> {
                for (int number = 0; ; number++) {
                    record.add(name + number + " answer " + book(daemon, name + number));
                    Threads.sleep(100);
                }
            });
        }
    }

    private static String book(Daemon daemon, String attempt) {
        try (Client client = new Client(daemon.ip(), 8221, 3_000)) {
            Http.Message message = client.call(
                    "POST", "/book/seat", Client.headers(Deployment.HOST, attempt, 2_000, Deployment.KEY), BODY);
            return message == null ? "closed" : Integer.toString(message.status());
        } catch (IOException exception) {
            return exception.toString();
        }
    }

    private static int check(Record record, long readMillis, List<Runner> gone) {
        record.add("the machine was told of both removals at " + readMillis);
        int late = 0;
        for (Runner runner : gone) {
            for (Runner.Run run : runner.runs()) {
                boolean broken = run.atMillis() > readMillis + DRAIN_MILLIS;
                record.add(run.attempt() + " reached " + runner.id() + " at " + run.atMillis()
                        + (broken ? " LATER THAN DrainMs" : ""));
                late += broken ? 1 : 0;
            }
        }
        record.add("requests that reached a server later than DrainMs after its removal was acknowledged: " + late);
        return late > 0 ? 1 : 0;
    }
}
