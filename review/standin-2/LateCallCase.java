import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The holder of the duties is cut off from the platform's API and then stopped as planned. Another machine takes over
 * and reports. What the former holder has sent on its open channel arrives after the link has healed.
 */
final class LateCallCase {

    private static final long THAW_SLACK_MILLIS = 300;

    /** Time from the cut to the signal to stop: two windows of usage fall due within it. */
    private static final long STOP_AFTER_MILLIS = 5_500;

    /** Time from the first report of another machine to the heal of the link. */
    private static final long HEAL_AFTER_MILLIS = 500;

    private static final long WATCH_MILLIS = 15_000;

    private LateCallCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        try (Platform platform = new Platform(false);
                Runner runner = new Runner("i-1", Deployment.SERVICE);
                Proxy api = new Proxy(platform.port());
                Daemon holder = daemon(root, directory, 1, platform, api.address());
                Daemon second = daemon(root, directory, 2, platform, platform.address());
                Daemon third = daemon(root, directory, 3, platform, platform.address())) {
            platform.put("keyed.servers", runner.id(), runner.entry("z1"));
            platform.put(
                    "keyed.op",
                    "config",
                    Deployment.version(
                            1, Deployment.key(Deployment.KEY), Deployment.route("safe", "safe", 2_000)));
            start(holder, second, third);
            Threads.start(() -> send(List.of(holder, second, third)));
            await("a report of " + holder.name(), () -> platform.hasReportOf(holder.name()), 30_000);
            if (trouble) {
                record.add(holder.name() + " is cut off from the platform's API, silently");
                api.cutSilently();
            }
            Threads.sleep(STOP_AFTER_MILLIS);
            record.add(holder.name() + " gets SIGTERM");
            holder.signal("TERM");
            await("a report of another machine", () -> platform.hasReportOfOther(holder.name()), 15_000);
            record.add("another machine has reported");
            Threads.sleep(HEAL_AFTER_MILLIS);
            long healedMillis = Long.MIN_VALUE / 2;
            if (trouble) {
                record.add("the link heals");
                api.heal();
                healedMillis = Threads.millis();
            }
            Threads.sleep(WATCH_MILLIS);
            return check(record, platform, healedMillis);
        }
    }

    /** Starts the machine that is to hold the duties before the others. */
    private static void start(Daemon holder, Daemon second, Daemon third) throws IOException {
        holder.start(true);
        holder.awaitReady(30_000);
        Threads.sleep(1_500);
        second.start(true);
        third.start(true);
        second.awaitReady(30_000);
        third.awaitReady(30_000);
    }

    private static Daemon daemon(Path root, Path directory, int number, Platform platform, String api)
            throws IOException {
        String zone = "z" + number;
        return new Daemon(
                root, directory, "front-" + zone + "-1", zone, Addresses.next(), platform.address(), api, false);
    }

    /** Sends requests to all machines until the case ends; a machine that has stopped refuses the channel. */
    private static void send(List<Daemon> daemons) {
        for (int number = 0; ; number++) {
            Daemon daemon = daemons.get(number % daemons.size());
            try (Client client = new Client(daemon.ip(), 8221, 3_000)) {
                client.call(
                        "GET",
                        "/safe/x",
                        Client.headers(Deployment.HOST, "a-" + number, 2_000, Deployment.KEY),
                        new byte[0]);
            } catch (IOException exception) {
                // Clients go on with another machine.
            }
            Threads.sleep(50);
        }
    }

    private static void await(String what, BooleanSupplier condition, long millis) throws IOException {
        long until = Threads.millis() + millis;
        while (!condition.getAsBoolean()) {
            if (Threads.millis() > until) {
                throw new IOException("there is not " + what);
            }
            Threads.sleep(20);
        }
    }

    private static int check(Record record, Platform platform, long healedMillis) {
        long highest = Long.MIN_VALUE;
        int broken = 0;
        for (Platform.DutyCall call : platform.duties()) {
            long sinceHealMillis = call.atMillis() - healedMillis;
            boolean excused = sinceHealMillis >= 0 && sinceHealMillis <= THAW_SLACK_MILLIS;
            boolean stale = call.fence() < highest && !excused;
            record.add(call.path() + " of " + call.holder() + " with fence number " + call.fence() + " came at "
                    + call.atMillis() + " " + call.body()
                    + (stale ? " LOWER THAN " + highest + ", " + sinceHealMillis + " ms after the link healed" : ""));
            highest = Math.max(highest, call.fence());
            broken += stale ? 1 : 0;
        }
        record.add("usage reports with a lower fence number than one seen before: " + broken);
        return broken > 0 ? 1 : 0;
    }
}
