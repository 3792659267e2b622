import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A machine that is cut off from the store loses the path to the only server of a route, too, and passes requests on to
 * another machine, which serves them under a newer version of the configuration. Once it reaches the server again, it
 * serves requests itself, under the older version.
 */
final class ConfigRegressCase {

    private static final long ROLLBACK_SLACK_MILLIS = 250;

    private static final byte[] BODY = "one seat".getBytes(StandardCharsets.UTF_8);

    /** A request that a client sent to the machine that is cut off. */
    private record Sent(long atMillis, String attempt, String answer) {}

    private ConfigRegressCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        try (Platform platform = new Platform(true);
                Runner before = new Runner("i-before", Deployment.SERVICE);
                Runner after = new Runner("i-after", Deployment.OTHER_SERVICE);
                Runner second = new Runner("i-after-2", Deployment.OTHER_SERVICE);
                Runner third = new Runner("i-after-3", Deployment.OTHER_SERVICE);
                Runner fourth = new Runner("i-after-4", Deployment.OTHER_SERVICE);
                Proxy path = new Proxy(before.port());
                Proxy store = new Proxy(platform.view(Map.of(before.port(), path.port())));
                Daemon cut = daemon(root, directory, "z1", 1, store.address(), platform);
                Daemon near = daemon(root, directory, "z1", 2, platform.address(), platform);
                Daemon far = daemon(root, directory, "z2", 1, platform.address(), platform);
                Daemon farther = daemon(root, directory, "z3", 1, platform.address(), platform)) {
            List<Runner> afters = List.of(after, second, third, fourth);
            platform.put("keyed.servers", before.id(), before.entry("z1"));
            afters.forEach(runner -> platform.put("keyed.servers", runner.id(), runner.entry("z1")));
            platform.put("keyed.op", "config", version(1, Deployment.SERVICE));
            List<Daemon> daemons = List.of(cut, near, far, farther);
            for (Daemon daemon : daemons) {
                daemon.start(true);
            }
            for (Daemon daemon : daemons) {
                daemon.awaitReady(30_000);
            }
            Threads.sleep(2_000);
            return check(record, play(record, trouble, platform, path, store, cut, before), before, afters);
        }
    }

    private static Daemon daemon(
            Path root, Path directory, String zone, int number, String store, Platform platform) throws IOException {
        String name = "front-" + zone + "-" + number;
        return new Daemon(root, directory, name, zone, Addresses.next(), store, platform.address(), true);
    }

    private static String version(long version, String service) {
        return Deployment.version(
                version, Deployment.key(Deployment.KEY), Deployment.route("book", "unsafe", 2_000, service));
    }

    private static List<Sent> play(
            Record record,
            boolean trouble,
            Platform platform,
            Proxy path,
            Proxy store,
            Daemon cut,
            Runner before)
            throws IOException {
        List<Sent> sent = new ArrayList<>();
        send(sent, cut, 1_000);
        if (trouble) {
            record.add(cut.name() + " is cut off from the store, silently");
            store.cutSilently();
        }
        send(sent, cut, 1_000);
        if (trouble) {
            record.add(cut.name() + " loses the path to the server " + before.id() + ", with resets");
            path.cutWithResets();
        }
        send(sent, cut, 500);
        platform.put("keyed.op", "config", version(2, Deployment.OTHER_SERVICE));
        record.add("the store acknowledges version 2, which moves the route from " + Deployment.SERVICE + " to "
                + Deployment.OTHER_SERVICE);
        send(sent, cut, 2_500);
        if (trouble) {
            record.add("the path to the server " + before.id() + " heals");
            path.heal();
        }
        send(sent, cut, 1_500);
        if (trouble) {
            record.add("the path to the store heals");
            store.heal();
        }
        send(sent, cut, 3_000);
        return sent;
    }

    private static void send(List<Sent> sent, Daemon daemon, long millis) {
        long until = Threads.millis() + millis;
        while (Threads.millis() < until) {
            String attempt = "a-" + sent.size();
            long at = Threads.millis();
            String answer;
            try (Client client = new Client(daemon.ip(), 8221, 3_000)) {
                Http.Message message = client.call(
                        "POST",
                        "/book/seat",
                        Client.headers(Deployment.HOST, attempt, 2_000, Deployment.KEY),
                        BODY);
                answer = message == null ? "closed" : Integer.toString(message.status());
            } catch (IOException exception) {
                answer = exception.toString();
            }
            sent.add(new Sent(at, attempt, answer));
            Threads.sleep(100);
        }
    }

    private static int check(Record record, List<Sent> sent, Runner before, List<Runner> afters) {
        Optional<Long> effect = Optional.empty();
        int regressed = 0;
        for (Sent request : sent) {
            Optional<Runner.Run> old = before.run(request.attempt());
            Optional<Runner.Run> fresh = afters.stream()
                    .flatMap(runner -> runner.run(request.attempt()).stream())
                    .findFirst();
            boolean broken = old.isPresent()
                    && effect.isPresent()
                    && request.atMillis() > effect.get() + ROLLBACK_SLACK_MILLIS;
            record.add("sent at " + request.atMillis() + " " + request.attempt() + " answer " + request.answer()
                    + old.map(run -> " run by " + Deployment.SERVICE + " at " + run.atMillis())
                            .orElse("")
                    + fresh.map(run -> " run by " + Deployment.OTHER_SERVICE + " at " + run.atMillis())
                            .orElse("")
                    + (broken ? " REGRESSED" : ""));
            if (effect.isEmpty()) {
                effect = fresh.map(Runner.Run::atMillis);
            }
            regressed += broken ? 1 : 0;
        }
        record.add("requests run as only version 1 allows, over " + ROLLBACK_SLACK_MILLIS
                + " ms after a server saw version 2 through the same machine: " + regressed);
        if (effect.isEmpty()) {
            return 2;
        }
        return regressed > 0 ? 1 : 0;
    }
}
