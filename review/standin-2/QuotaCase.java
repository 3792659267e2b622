import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** A tenant sends many times its usual, after the operator has lowered its limit far below what it sends. */
final class QuotaCase {

    private static final int MACHINES = 7;

    private static final long HIGH_LIMIT = 194_713;

    private static final long LOW_LIMIT = 10_000;

    private static final long WINDOW_MILLIS = 8_000;

    private static final double OVERAGE = 1.1;

    private static final long SLACK_TOKENS = 190_000;

    /** New requests of the tenant, of about 17,000 tokens: 7.5 times 26,000 tokens a second. */
    private static final long PAUSE_MILLIS = 87;

    private static final long PLAY_MILLIS = 45_000;

    /** ConfigApplyMs after the acknowledgement, and one window. */
    private static final long BINDS_AFTER_MILLIS = 2_000 + WINDOW_MILLIS;

    /** A request of a client. */
    private record Sent(long atMillis, int tokens) {}

    /** A request that ran. */
    private record Ran(long sentMillis, long atMillis, int tokens) {}

    private QuotaCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        List<Daemon> daemons = new ArrayList<>();
        try (Platform platform = new Platform(true);
                Runner first = new Runner("i-1", Deployment.SERVICE);
                Runner second = new Runner("i-2", Deployment.SERVICE)) {
            platform.put("keyed.servers", first.id(), first.entry("z1"));
            platform.put("keyed.servers", second.id(), second.entry("z2"));
            platform.put("keyed.op", "config", version(1, HIGH_LIMIT));
            for (int number = 0; number < MACHINES; number++) {
                String zone = "z" + (1 + number % 3);
                daemons.add(new Daemon(
                        root,
                        directory,
                        "front-" + zone + "-" + (1 + number / 3),
                        zone,
                        Addresses.next(),
                        platform.address(),
                        platform.address(),
                        true));
                daemons.get(number).start(true);
            }
            for (Daemon daemon : daemons) {
                daemon.awaitReady(60_000);
            }
            Threads.sleep(3_000);
            Map<String, Sent> sent = new ConcurrentHashMap<>();
            Threads.start(() -> send(record, sent, daemons, trouble));
            platform.put("keyed.op", "config", version(2, LOW_LIMIT));
            long binds = Threads.millis() + BINDS_AFTER_MILLIS;
            record.add("version 2 lowers the tenant's RatePerS and Burst from " + HIGH_LIMIT + " to " + LOW_LIMIT);
            Threads.sleep(PLAY_MILLIS);
            return check(record, sent, List.of(first, second), binds);
        } finally {
            daemons.forEach(Daemon::close);
        }
    }

    private static String version(long version, long limit) {
        return Deployment.version(
                version, Deployment.key(Deployment.KEY), Deployment.route("brief", "streaming", 6_000), limit);
    }

    private static void send(Record record, Map<String, Sent> sent, List<Daemon> daemons, boolean trouble) {
        Random random = new Random();
        for (int number = 0; ; number++) {
            String attempt = "a-" + number;
            int tokens = 3_000 + (int) Math.min(87_000, -14_000 * Math.log(1 - random.nextDouble()));
            Threads.start(() -> ask(record, sent, daemons, attempt, tokens));
            Threads.sleep(trouble ? PAUSE_MILLIS : PAUSE_MILLIS * 20);
        }
    }

    /** Sends a request, and once more when the refusal says. */
    private static void ask(Record record, Map<String, Sent> sent, List<Daemon> daemons, String attempt, int tokens) {
        Http.Message answer = sendOnce(record, sent, daemons, attempt, tokens);
        if (answer != null && answer.headers().containsKey("retry-after")) {
            long waitMillis = (long) (1_000 * Double.parseDouble(answer.header("retry-after")));
            Threads.sleep(Math.min(waitMillis, 2_000));
            sendOnce(record, sent, daemons, attempt + "-again", tokens);
        }
    }

    private static Http.Message sendOnce(
            Record record, Map<String, Sent> sent, List<Daemon> daemons, String attempt, int tokens) {
        Daemon daemon = daemons.get(new Random().nextInt(daemons.size()));
        Map<String, String> headers = Client.headers(Deployment.HOST, attempt, 6_000, Deployment.KEY);
        headers.put("X-Ragwortpitch-Token-Usage", tokens - 17 + ",17");
        sent.put(attempt, new Sent(Threads.millis(), tokens));
        try (Client client = new Client(daemon.ip(), 8221, 7_000)) {
            Http.Message answer = client.call("POST", "/brief/x", headers, new byte[0]);
            record.add(attempt + " with " + tokens + " tokens at " + daemon.name() + " answer "
                    + (answer == null ? "closed" : answer.status()));
            return answer;
        } catch (IOException exception) {
            record.add(attempt + " " + exception);
            return null;
        }
    }

    private static int check(Record record, Map<String, Sent> sent, List<Runner> runners, long bindsMillis) {
        List<Ran> ran = runners.stream()
                .flatMap(runner -> runner.runs().stream())
                .map(run -> new Ran(
                        sent.get(run.attempt()).atMillis(),
                        run.atMillis(),
                        sent.get(run.attempt()).tokens()))
                .sorted(Comparator.comparingLong(Ran::sentMillis))
                .toList();
        double limit = (LOW_LIMIT * WINDOW_MILLIS / 1_000.0 + LOW_LIMIT) * OVERAGE + SLACK_TOKENS;
        long most = 0;
        for (Ran start : ran) {
            if (start.sentMillis() >= bindsMillis) {
                long end = start.sentMillis() + WINDOW_MILLIS;
                long tokens = ran.stream()
                        .filter(run -> run.sentMillis() >= start.sentMillis() && run.atMillis() < end)
                        .mapToLong(Ran::tokens)
                        .sum();
                most = Math.max(most, tokens);
            }
        }
        record.add("most tokens sent and run within " + WINDOW_MILLIS + " ms: " + most + ", the limit is " + (long) limit);
        return most > limit ? 1 : 0;
    }
}
