import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A runner stops some of its streams in the middle of an event. The rule: a stream doesn't end as complete before its
 * last piece.
 */
final class StoppedStreamCase {

    private static final String CONFIG = "{\"Version\":7,\"Routes\":[{\"Name\":\"ask\",\"Host\":\"site.example\","
            + "\"PathPrefix\":\"/ask/\",\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"TargetLatencyMs\":600,"
            + "\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,\"AllowAnonymous\":false,\"SessionAffinity\":true,"
            + "\"AllowResume\":true,\"TargetGapMs\":150}],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,"
            + "\"KvCapacityTokens\":546098,\"KvTokenBytes\":163840,\"LinkMbps\":1700000.0,\"KvTtlS\":5.0,"
            + "\"RoleSwitchS\":3.0,\"Models\":[{\"Name\":\"m\"}]}}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"one\",\"ApiKeys\":[\"key1\"],\"Unit\":\"generate\",\"PlainTokens\":200,"
            + "\"RatePerS\":3812220,\"Burst\":3812220}]}";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = Trouble.begin();
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Platform platform = new Platform(record, 300_000);
        Fleet fleet = new Fleet(record, platform, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        List<Runner> runners = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            runners.add(new Runner(record, platform, "i-" + number, "llm", "decode"));
        }
        platform.put("keyed.op", "config", CONFIG);
        try {
            fleet.startAll(300);
        } catch (java.io.IOException exception) {
            record.say("could not run: " + exception.getMessage());
            System.exit(2);
        }
        Times.sleep(3_000);
        if (trouble) {
            runners.get(0).stoppedShare = 0.05;
            runners.get(1).stoppedShare = 0.05;
            record.say("two of four runners stop one in twenty of their streams in the middle of the fourth event");
        }
        ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < 1_000; number++) {
            String ip = fleet.daemons().get(number / 5 % 3).ip;
            Thread client = new Thread(() -> answers.add(Client.generation(record, ip, "/ask/x", "key1")));
            client.start();
            clients.add(client);
            Times.sleep(number % 5 == 4 ? 200 : 0);
        }
        for (Thread client : clients) {
            client.join();
        }
        Set<String> stopped = new HashSet<>();
        runners.forEach(runner -> stopped.addAll(runner.stoppedStreams));
        int whole = 0;
        int early = 0;
        int resumed = 0;
        for (Client.Answer answer : answers) {
            if (answer.status() != 200) {
                continue;
            }
            boolean complete = answer.text().contains("id: " + Runner.EVENTS + "\ndata: x\n\n");
            whole += complete ? 1 : 0;
            resumed += complete && stopped.contains(answer.attempt()) ? 1 : 0;
            if (!complete) {
                early++;
                record.line("ORDER: the stream of " + answer.attempt() + " ended as complete without its last event");
            }
        }
        record.say(answers.size() + " streams, " + stopped.size() + " stopped by a runner, " + resumed
                + " of these resumed to their end; " + whole + " whole; " + early
                + " ended as complete before their last event (ORDER)");
        System.exit(whole < 500 ? 2 : early > 0 ? 1 : 0);
    }
}
