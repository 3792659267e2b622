import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Two of three servers leave, without a word but the end of their entries, while one partition of the store is down. */
final class DrainCase {

    private static final long PARTITION_DOWN_MILLIS = 4_500;

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
                Bookings.start(record, daemon);
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
                return read.isEmpty() ? 2 : Bookings.countLate(record, read.get(), List.of(second, third)) > 0 ? 1 : 0;
            }
        }
    }
}
