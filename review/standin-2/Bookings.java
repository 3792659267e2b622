import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Clients that book one seat after the other, and what their requests reach. */
final class Bookings {

    private static final long DRAIN_MILLIS = 2_000;

    private static final int CLIENTS = 8;

    private static final byte[] BODY = "one seat".getBytes(StandardCharsets.UTF_8);

    private Bookings() {}

    /** Starts clients that send bookings one after the other. */
    static void start(Record record, Daemon daemon) {
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

    /** Counts the requests that have reached servers later than DrainMs after a machine was told that they leave. */
    static int countLate(Record record, long readMillis, List<Runner> gone) {
        record.add("the machine was told that they leave at " + readMillis);
        int late = 0;
        for (Runner runner : gone) {
            for (Runner.Run run : runner.runs()) {
                boolean broken = run.atMillis() > readMillis + DRAIN_MILLIS;
                record.add(run.attempt() + " reached " + runner.id() + " at " + run.atMillis()
                        + (broken ? " LATER THAN DrainMs" : ""));
                late += broken ? 1 : 0;
            }
        }
        record.add("requests that reached a server later than DrainMs after its leaving was acknowledged: " + late);
        return late;
    }
}
