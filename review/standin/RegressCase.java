import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine that the store turns away misses a change of the configuration; for a while it has no path to the runners
 * either. The rule: a machine doesn't regress behind a version of which a runner has seen the effect through it.
 */
final class RegressCase {

    private static String config(int version, String service) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"look\",\"Host\":\"site.example\","
                + "\"PathPrefix\":\"/look/\",\"Kind\":\"safe\",\"TimeoutMs\":1000,\"TargetLatencyMs\":100,"
                + "\"Priority\":2,\"Service\":\"" + service + "\",\"MaxAttempts\":2,\"AllowAnonymous\":false}],"
                + "\"Services\":[{\"Name\":\"app-1\",\"HealthPath\":\"/health\",\"MaxConnections\":100},"
                + "{\"Name\":\"app-2\",\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"one\",\"ApiKeys\":[\"key1\"],\"Unit\":\"generate\",\"PlainTokens\":1,"
                + "\"RatePerS\":100000,\"Burst\":100000}]}";
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = Trouble.begin();
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Platform platform = new Platform(record, 300_000);
        Fleet fleet = new Fleet(record, platform, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        List<Runner> before = new ArrayList<>();
        List<Runner> after = new ArrayList<>();
        List<Proxy> paths = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        for (int number = 1; number <= 2; number++) {
            before.add(new Runner(record, platform, "i-old-" + number, "app-1", ""));
            after.add(new Runner(record, platform, "i-new-" + number, "app-2", ""));
        }
        for (List<Runner> service : List.of(before, after)) {
            for (Runner runner : service) {
                Proxy path = new Proxy(runner.port());
                paths.add(path);
                addresses.put(runner.address(), "127.0.0.1:" + path.port());
            }
        }
        Fleet.Daemon machine = fleet.daemons().get(0);
        Platform.View view = platform.view(addresses);
        machine.storeAddress = view.address();
        platform.put("keyed.op", "config", config(3, "app-1"));
        try {
            fleet.startAll(300);
        } catch (java.io.IOException exception) {
            record.say("could not run: " + exception.getMessage());
            System.exit(2);
        }
        Times.sleep(5_000);
        Map<String, Long> sentMillis = new java.util.concurrent.ConcurrentHashMap<>();
        boolean[] stop = new boolean[1];
        Thread clients = new Thread(() -> {
            while (!stop[0]) {
                Thread one = new Thread(() -> {
                    long now = System.currentTimeMillis();
                    Client.Answer answer =
                            Client.plain(record, machine.ip, "GET", "/look/x", "key1", new byte[0]);
                    sentMillis.put(answer.attempt(), now);
                });
                one.setDaemon(true);
                one.start();
                Times.sleep(50);
            }
        });
        clients.setDaemon(true);
        clients.start();
        Times.sleep(2_000);
        if (trouble) {
            record.say("the store turns " + machine.name + " away with 503, and serves the others");
            view.refuse(true);
        }
        Times.sleep(1_000);
        platform.put("keyed.op", "config", config(7, "app-2"));
        record.say("version 7 is acknowledged: it moves the route to another service");
        Times.sleep(5_000);
        if (trouble) {
            record.say(machine.name + " has no path to the runners");
            for (Proxy path : paths) {
                path.cut();
            }
            Times.sleep(4_000);
            for (Proxy path : paths) {
                path.heal();
            }
            record.say(machine.name + " has its paths to the runners again");
        }
        Times.sleep(4_000);
        if (trouble) {
            view.refuse(false);
            record.say("the store serves " + machine.name + " again");
        }
        Times.sleep(4_000);
        stop[0] = true;
        Times.sleep(1_500);
        long firstNew = Long.MAX_VALUE;
        int ranNew = 0;
        for (Runner runner : after) {
            for (String attempt : runner.ran) {
                ranNew++;
                firstNew = Math.min(firstNew, sentMillis.getOrDefault(attempt, Long.MAX_VALUE));
            }
        }
        int regressed = 0;
        for (Runner runner : before) {
            for (String attempt : runner.ran) {
                // Counted from when the first request that the new service ran was done, with RollbackSlackMs eight
                // times, as on a slowed machine.
                if (firstNew != Long.MAX_VALUE
                        && sentMillis.getOrDefault(attempt, 0L) > firstNew + 1_000 + 8 * 250) {
                    regressed++;
                }
            }
        }
        record.say("requests through " + machine.name + ": " + ranNew + " run by the service of version 7, " + regressed
                + " sent over 3 s after the first of these and run by the service of version 3");
        System.exit(ranNew == 0 ? 2 : regressed > 0 ? 1 : 0);
    }
}
