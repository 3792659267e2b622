import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator allows longer headers while clients keep their channels open. */
final class HeaderLimitCase {

    private static final int LOW_BYTES = 8_192;

    private static final int HIGH_BYTES = 16_384;

    private static final int CHANNELS = 20;

    private static final int ROUNDS = 10;

    /** More than ConfigApplyMs. */
    private static final long APPLY_MILLIS = 4_000;

    private static final int ALLOWED = 5;

    private static final int ONE_IN = 500;

    private static final byte[] BODY = "one seat".getBytes(StandardCharsets.UTF_8);

    private HeaderLimitCase() {}

    static int run(Path root, Path directory, Record record, boolean trouble) throws IOException {
        try (Platform platform = new Platform(true);
                Runner runner = new Runner("i-1", Deployment.SERVICE);
                Daemon daemon = new Daemon(
                        root,
                        directory,
                        "front-z1-1",
                        "z1",
                        Addresses.next(),
                        platform.address(),
                        platform.address(),
                        true)) {
            platform.put("keyed.servers", runner.id(), runner.entry("z1"));
            platform.put("keyed.op", "config", version(1, trouble ? LOW_BYTES : HIGH_BYTES));
            daemon.start(true);
            daemon.awaitReady(30_000);
            Threads.sleep(1_000);
            List<Client> clients = new ArrayList<>();
            for (int number = 0; number < CHANNELS; number++) {
                clients.add(new Client(daemon.ip(), 8221, 3_000));
            }
            int denied = 0;
            for (int round = 0; round < ROUNDS; round++) {
                if (round == 1) {
                    platform.put("keyed.op", "config", version(2, HIGH_BYTES));
                    record.add("the store acknowledges version 2, whose MaxHeaderBytes are " + HIGH_BYTES);
                    Threads.sleep(APPLY_MILLIS);
                }
                for (int number = 0; number < CHANNELS; number++) {
                    denied += book(record, clients, number, daemon, runner, "r" + round + "-" + number, round > 0);
                }
            }
            int sent = ROUNDS * CHANNELS;
            record.add("requests that are ended with a 4xx of the system's own: " + denied + " of " + sent);
            return denied > ALLOWED + (double) sent / ONE_IN ? 1 : 0;
        }
    }

    private static String version(long version, int headerBytes) {
        String text = Deployment.version(
                version, Deployment.key(Deployment.KEY), Deployment.route("book", "unsafe", 2_000));
        return Deployment.withHeaderLimit(text, headerBytes);
    }

    /** Sends a booking on a kept channel, or on a new one after the system has closed the channel. */
    private static int book(
            Record record, List<Client> clients, int number, Daemon daemon, Runner runner, String attempt, boolean isLong)
            throws IOException {
        Map<String, String> headers = Client.headers(Deployment.HOST, attempt, 2_000, Deployment.KEY);
        if (isLong) {
            headers.put("Cookie", "c".repeat(6_000));
            headers.put("X-Form", "f".repeat(4_000));
        }
        Http.Message answer = clients.get(number).call("POST", "/book/seat", headers, BODY);
        if (answer == null) {
            throw new IOException("the channel ended before the answer to " + attempt);
        }
        record.add(attempt + " with " + (isLong ? "about 10,200" : "about 200") + " bytes of headers, answer "
                + answer.status() + (runner.run(attempt).isPresent() ? ", run" : ", not run"));
        if ("close".equals(answer.header("connection"))) {
            clients.set(number, new Client(daemon.ip(), 8221, 3_000));
        }
        boolean own = !answer.headers().containsKey("x-ragwortpitch-response-seal");
        boolean promise = List.of(408, 421, 429).contains(answer.status());
        return own && answer.status() >= 400 && answer.status() < 500 && !promise ? 1 : 0;
    }
}
