import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The store is away for a moment and comes back from a copy that is a few seconds old, just after a window's usage was
 * accepted. The rule: the platform accepts no two reports of a window with different counts, and no two holders send
 * one fence number.
 */
final class RestoreCase {

    private static final String CONFIG = "{\"Version\":7,\"Routes\":[{\"Name\":\"look\",\"Host\":\"site.example\","
            + "\"PathPrefix\":\"/look/\",\"Kind\":\"safe\",\"TimeoutMs\":1000,\"TargetLatencyMs\":100,\"Priority\":2,"
            + "\"Service\":\"app\",\"MaxAttempts\":2,\"AllowAnonymous\":false}],"
            + "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\"}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"one\",\"ApiKeys\":[\"key1\"],\"Unit\":\"generate\",\"PlainTokens\":1,"
            + "\"RatePerS\":100000,\"Burst\":100000},{\"Name\":\"two\",\"ApiKeys\":[\"key2\"],\"Unit\":\"generate\","
            + "\"PlainTokens\":1,\"RatePerS\":100000,\"Burst\":100000}]}";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = Trouble.begin();
        String kind = arguments[1];
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int keepSeconds = kind.equals("expiry") ? 20 : 300;
        Platform platform = new Platform(record, keepSeconds * 1_000L);
        Fleet fleet = new Fleet(record, platform, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        List<Runner> runners = List.of(
                new Runner(record, platform, "i-1", "app", ""), new Runner(record, platform, "i-2", "app", ""));
        platform.put("keyed.op", "config", CONFIG);
        try {
            fleet.startAll(keepSeconds);
        } catch (java.io.IOException exception) {
            record.say("could not run: " + exception.getMessage());
            System.exit(2);
        }
        Thread clients = new Thread(() -> load(record, fleet));
        clients.setDaemon(true);
        clients.start();
        if (kind.equals("expiry")) {
            expiry(record, platform, fleet, trouble);
        } else {
            restore(record, platform, trouble);
        }
        List<String> broken = platform.brokenOne();
        broken.forEach(record::say);
        long ran = runners.stream().mapToLong(runner -> runner.ran.size()).sum();
        int windows = platform.usage.size();
        record.say(ran + " requests run, " + windows + " windows reported, rule "
                + (broken.isEmpty() ? "held" : "BROKEN"));
        System.exit(ran < 100 || windows < 3 ? 2 : broken.isEmpty() ? 0 : 1);
    }

    /** Sends a few requests a second to each daemon, for both tenants. */
    private static void load(Record record, Fleet fleet) {
        while (true) {
            for (Fleet.Daemon daemon : fleet.daemons()) {
                String key = ThreadLocalRandom.current().nextInt(3) == 0 ? "key2" : "key1";
                Thread one = new Thread(() -> Client.plain(record, daemon.ip, "GET", "/look/x", key, new byte[0]));
                one.setDaemon(true);
                one.start();
            }
            Times.sleep(150);
        }
    }

    private static void restore(Record record, Platform platform, boolean trouble) {
        // Steady state: two windows reported.
        await(() -> platform.usage.size() >= 3, 40_000);
        // Copies are taken all the while, as a backup is; the one that is put back is five seconds old.
        java.util.ArrayDeque<Object[]> copies = new java.util.ArrayDeque<>();
        long window = platform.lastUsageWindow;
        while (platform.lastUsageWindow == window) {
            copies.add(new Object[] {System.currentTimeMillis(), platform.copyOfNow()});
            while ((long) copies.peek()[0] < System.currentTimeMillis() - 5_000) {
                copies.poll();
            }
            Times.sleep(50);
        }
        Times.sleep(300);
        record.say("usage of window " + platform.lastUsageWindow + " was accepted from " + platform.lastUsageHolder);
        if (trouble) {
            long age = System.currentTimeMillis() - (long) copies.peek()[0];
            record.say("the store goes away for 1 s and comes back from a copy that is " + age + " ms old");
            platform.setDown(true);
            Times.sleep(1_000);
            platform.restore(copies.peek()[1], true);
            platform.setDown(false);
        }
        Times.sleep(30_000);
    }

    private static void expiry(Record record, Platform platform, Fleet fleet, boolean trouble) {
        await(() -> platform.usage.size() >= 7, 60_000);
        record.say("usage was accepted from " + platform.lastUsageHolder);
        // A planned stop of the holder, 2 s into a window.
        while (System.currentTimeMillis() % 5_000 < 2_200 || System.currentTimeMillis() % 5_000 > 2_400) {
            Times.sleep(10);
        }
        if (trouble) {
            fleet.named(platform.lastUsageHolder).terminate();
        }
        Times.sleep(15_000);
    }

    private static void await(java.util.function.BooleanSupplier condition, long millis) {
        long until = System.currentTimeMillis() + millis;
        while (!condition.getAsBoolean() && System.currentTimeMillis() < until) {
            Times.sleep(50);
        }
    }
}
