package org.ragwortpitch.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.operator.RulesDocument;
import org.ragwortpitch.operator.RulesProposal;
import org.ragwortpitch.operator.StatusReport;
import org.ragwortpitch.standin.Faults;
import org.ragwortpitch.standin.Standin;
import org.ragwortpitch.standin.StandinSettings;

/**
 * A complete system under test: stand-ins for the platform and the endpoints, and daemons in separate processes.
 */
final class Deployment implements AutoCloseable {

    static final String TOKEN = "operator-token-of-the-scenarios";

    static final String KEY = "key-of-the-client-account";

    private static final String[] DOMAINS = {"d-a", "d-b", "d-c"};

    private static final int ENGINES = 3;

    private final Standin standin;

    private final List<DaemonProcess> daemons = new ArrayList<>();

    private HttpClient http = client();

    Deployment(int logRecords) {
        standin = new Standin(new StandinSettings()
                .withListenPort(0)
                .withEngines(ENGINES)
                .withLogRecords(logRecords)
                .withStepMicros(10_000));
    }

    private static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(5))
                .build();
    }

    /**
     * Disconnects the callers of all streams by dropping their HTTP client; later calls use a new client.
     */
    void disconnectCallers() {
        http = client();
        System.gc();
    }

    DaemonProcess addDaemon() throws IOException {
        int index = daemons.size();
        int platformPort = Integer.parseInt(standin.platform().replaceAll(".*:", ""));
        DaemonProcess daemon = new DaemonProcess(
                "i" + index,
                platformPort,
                List.of(
                        "--failure-domain", DOMAINS[index % DOMAINS.length],
                        "--operator-token", TOKEN,
                        "--peer-secret", "peer-secret-of-the-scenarios",
                        "--usage-window-millis", "1000",
                        "--usage-grace-millis", "300",
                        "--address-cache-millis", "500",
                        "--checkpoint-records", "30",
                        "--drain-millis", "30000"));
        daemons.add(daemon);
        daemon.start();
        return daemon;
    }

    void startDaemons(int count) throws IOException {
        for (int index = 0; index < count; index++) {
            addDaemon();
        }
        daemons.forEach(DaemonProcess::awaitBound);
        daemons.forEach(this::awaitReady);
        Await.until(
                "membership of all daemons",
                20_000,
                () -> status(daemons.get(0)).members().size() == count);
    }

    void awaitReady(DaemonProcess daemon) {
        Await.until(
                daemon.name() + " becoming ready",
                40_000,
                () -> get(daemon.operatorPort(), "/readyz").status() == 200);
    }

    List<DaemonProcess> daemons() {
        return daemons;
    }

    DaemonProcess daemon(int number) {
        return daemons.get(number - 1);
    }

    Stream<DaemonProcess> alive() {
        return daemons.stream().filter(DaemonProcess::isAlive);
    }

    /**
     * Returns the rules that all scenarios start with.
     */
    String rules() {
        StringBuilder rules = new StringBuilder();
        for (String domain : DOMAINS) {
            rules.append("failure-domain ").append(domain).append(" # Ana\n");
        }
        rules.append("account a tokens-per-second=100000 burst-tokens=200000 requests-per-second=1000 "
                + "burst-requests=2000 # Ana\n");
        rules.append("key k account=a sha256=").append(KeyHash.ofKey(KEY).hex()).append(" # Ana\n");
        rules.append("pool m serves=model concurrency=16 # Ana\npool s serves=service # Ana\n");
        for (int part = 1; part <= ENGINES + 1; part++) {
            String pool = part <= ENGINES ? "m" : "s";
            rules.append("endpoint e").append(part).append(" pool=").append(pool);
            rules.append(" failure-domain=").append(DOMAINS[(part - 1) % DOMAINS.length]);
            rules.append(" address=").append(standin.addresses().get(part)).append(" # Ana\n");
        }
        rules.append("route models path=/v1 access=keyed repeat=idempotent class=chat deadline-millis=20000 # Ana\n");
        rules.append("route lookups path=/services/s/lookups access=keyed repeat=idempotent service=s # Ana\n");
        rules.append("route open path=/services/s/open access=open repeat=idempotent service=s # Ana\n");
        rules.append("route signatures path=/services/s/signatures access=keyed repeat=at-most-once service=s "
                + "deadline-millis=3000 # Ana\n");
        return rules.toString();
    }

    Reply propose(DaemonProcess daemon, long basedOn, String text) {
        return post(
                daemon.operatorPort(),
                "/operator/rules",
                TOKEN,
                Json.write(new RulesProposal(basedOn, text, "operator")));
    }

    void applyRules() throws IOException {
        Reply reply = propose(daemon(1), -1, rules());
        if (reply.status() != 200) {
            throw new IOException(reply.body());
        }
        long version = reply.json().path("version").asLong();
        awaitInForce(version);
        daemons.forEach(daemon -> Await.until(
                "the limits of " + daemon.name(),
                20_000,
                () -> call(daemon, "ready?", 1).status() == 200));
    }

    long awaitInForce(long version) {
        return Await.until("rules in force everywhere", 20_000, () -> alive().allMatch(daemon -> {
            try {
                return status(daemon).rulesVersion() >= version;
            } catch (IOException exception) {
                return false;
            }
        }));
    }

    RulesDocument document(DaemonProcess daemon) throws IOException {
        return Json.read(get(daemon.operatorPort(), "/operator/rules").body(), RulesDocument.class);
    }

    StatusReport status(DaemonProcess daemon) throws IOException {
        return Json.read(get(daemon.operatorPort(), "/operator/status").body(), StatusReport.class);
    }

    Reply call(DaemonProcess daemon, String prompt, int tokens) {
        return post(daemon.callerPort(), "/v1/chat/completions", KEY, chat(prompt, tokens, false));
    }

    CompletableFuture<Reply> stream(DaemonProcess daemon, String prompt, int tokens) {
        HttpRequest request = request(daemon.callerPort(), "/v1/chat/completions", KEY)
                .POST(HttpRequest.BodyPublishers.ofString(chat(prompt, tokens, true)))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Reply(response.statusCode(), response.body()));
    }

    /**
     * Returns the body of a chat completion request. Engines receive the prompt in the form of {@link #promptOf}.
     */
    static String chat(String prompt, int tokens, boolean stream) {
        return "{\"model\":\"m\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    static String promptOf(String content) {
        return "user: " + content + "\n";
    }

    Reply sign(DaemonProcess daemon, String operation) {
        HttpRequest request = request(daemon.callerPort(), "/services/s/signatures", KEY)
                .header("Idempotency-Key", operation)
                .POST(HttpRequest.BodyPublishers.ofString("signed"))
                .build();
        return send(request);
    }

    Reply get(int port, String path) {
        return send(request(port, path, TOKEN).GET().build());
    }

    Reply post(int port, String path, String token, String body) {
        return send(request(port, path, token)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    HttpRequest.Builder request(int port, String path, String token) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer " + token);
    }

    Reply send(HttpRequest request) {
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException exception) {
            return new Reply(0, String.valueOf(exception));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Reply(0, "interrupted");
        }
    }

    void faults(Faults faults) {
        post(port(0), "/standin/faults", "", Json.write(faults));
    }

    JsonNode standin(int part, String path) throws IOException {
        return get(port(part), path).json();
    }

    /**
     * Returns the number of requests that run on all engines.
     */
    int running() throws IOException {
        int running = 0;
        for (int part = 1; part <= ENGINES; part++) {
            running += standin(part, "/v1/load").path("running").asInt();
        }
        return running;
    }

    int port(int part) {
        return Integer.parseInt(standin.addresses().get(part).replaceAll(".*:", ""));
    }

    static int serviceParts() {
        return ENGINES + 1;
    }

    static int engines() {
        return ENGINES;
    }

    @Override
    public void close() throws IOException {
        for (DaemonProcess daemon : daemons) {
            daemon.close();
        }
        standin.close();
    }
}
