import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A server reports that it is draining; later the store comes back from a copy in which it was ready. */
final class RestoredDrainCase {

    /** Time for the machine to act on the report: DrainMs and a margin. */
    private static final long ACT_MILLIS = 3_000;

    private static final long AWAY_MILLIS = 1_000;

    private static final long COPY_AGE_MILLIS = 5_000;

    /** Time from the store's return until the servers have written again: within HeartbeatMs. */
    private static final long WRITE_AGAIN_MILLIS = 1_000;

    private RestoredDrainCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        try (Platform platform = new Platform(true);
                Runner staying = new Runner("i-1", Deployment.SERVICE);
                Runner draining = new Runner("i-2", Deployment.SERVICE)) {
            for (Runner runner : List.of(staying, draining)) {
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
                Threads.sleep(COPY_AGE_MILLIS);
                Bookings.start(record, daemon);
                Threads.sleep(1_000);
                long offset = platform.put("keyed.servers", draining.id(), draining.entry("z1", "draining"));
                record.add(draining.id() + " reports that it is draining; it goes on serving for some seconds");
                Threads.sleep(ACT_MILLIS);
                Optional<Long> read = platform.readMillis(view, offset);
                if (trouble) {
                    record.add("the store is away");
                    platform.leave();
                    Threads.sleep(AWAY_MILLIS);
                    List<byte[]> lost = platform.comeBack(COPY_AGE_MILLIS);
                    record.add("the store is back, from a copy of " + COPY_AGE_MILLIS + " ms before");
                    Threads.sleep(WRITE_AGAIN_MILLIS);
                    lost.forEach(platform::writeAgain);
                    record.add("what the servers had written is written again");
                }
                Threads.sleep(4_000);
                return read.isEmpty() ? 2 : Bookings.countLate(record, read.get(), List.of(draining)) > 0 ? 1 : 0;
            }
        }
    }
}
