package org.ragwortpitch.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.operator.RulesProposal;
import org.ragwortpitch.standin.Standin;
import org.ragwortpitch.standin.StandinSettings;

/**
 * A fleet of daemons in front of stand-ins, with rules for one client account and one model.
 */
final class MeasuredFleet implements AutoCloseable {

    /**
     * API key of the client account.
     */
    static final String KEY = "key-of-measurements";

    private final Standin standin;

    private final List<MeasuredDaemon> daemons = new ArrayList<>();

    private final HttpClient http = HttpClient.newHttpClient();

    /**
     * Starts a fleet and waits until every daemon serves requests.
     *
     * @param count    number of daemons
     * @param jvmFlags JVM flags of the daemons
     * @throws IOException          if the fleet cannot be started
     * @throws InterruptedException if the wait is interrupted
     */
    MeasuredFleet(int count, StandinSettings settings, List<String> jvmFlags) throws IOException, InterruptedException {
        standin = new Standin(settings.withListenPort(0));
        for (int number = 0; number < count; number++) {
            daemons.add(new MeasuredDaemon(number, standin.platform(), jvmFlags));
        }
        for (MeasuredDaemon daemon : daemons) {
            daemon.awaitBound();
        }
        while (!allReady()) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        String proposal = Json.write(new RulesProposal(-1, rules(), "measurement"));
        send(daemons.get(0).operatorPort(), "/operator/rules", MeasuredDaemon.TOKEN, proposal);
        while (serving() < count) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /**
     * Returns whether all daemons are ready.
     *
     * @throws IOException          if a daemon does not answer
     * @throws InterruptedException if the wait is interrupted
     */
    private boolean allReady() throws IOException, InterruptedException {
        for (MeasuredDaemon daemon : daemons) {
            if (send(daemon.operatorPort(), "/readyz", MeasuredDaemon.TOKEN, "").statusCode() != 200) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of daemons that serve a request with status 200.
     *
     * @throws IOException          if a daemon does not answer
     * @throws InterruptedException if the wait is interrupted
     */
    private int serving() throws IOException, InterruptedException {
        int serving = 0;
        for (MeasuredDaemon daemon : daemons) {
            String path = "/v1/chat/completions";
            serving += send(daemon.callerPort(), path, KEY, chat("ready?", 1, false))
                                    .statusCode()
                            == 200
                    ? 1
                    : 0;
        }
        return serving;
    }

    private String rules() {
        StringBuilder rules =
                new StringBuilder("failure-domain f0 # Ana\npool m serves=model concurrency=1000 # Ana\n");
        rules.append("account a tokens-per-second=900000000 burst-tokens=900000000 ");
        rules.append("requests-per-second=1000000 burst-requests=1000000 # Ana\n");
        rules.append("key k account=a sha256=").append(KeyHash.ofKey(KEY).hex()).append(" # Ana\n");
        List<String> addresses = standin.addresses();
        for (int part = 1; part < addresses.size() - 1; part++) {
            rules.append("endpoint e").append(part).append(" pool=m failure-domain=f0 address=");
            rules.append(addresses.get(part)).append(" # Ana\n");
        }
        rules.append("route models path=/v1 access=keyed repeat=idempotent class=chat # Ana\n");
        return rules.toString();
    }

    /**
     * Returns the body of a chat completion request.
     *
     * @param tokens number of tokens to decode
     * @param stream whether the answer is streamed token by token
     */
    static String chat(String prompt, int tokens, boolean stream) {
        return "{\"model\":\"m\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    /**
     * Returns a request to a local port: a POST, or a GET if the body is empty.
     *
     * @param token API key or operator token, sent as bearer token
     */
    static HttpRequest request(int port, String path, String token, String body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json");
        return body.isEmpty()
                ? builder.GET().build()
                : builder.POST(HttpRequest.BodyPublishers.ofString(body)).build();
    }

    /**
     * Sends a request as built by {@link #request}.
     *
     * @throws IOException          if there is no response
     * @throws InterruptedException if the wait is interrupted
     */
    HttpResponse<String> send(int port, String path, String token, String body)
            throws IOException, InterruptedException {
        return http.send(request(port, path, token, body), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Returns the number of appends that the log stand-in has received.
     *
     * @throws IOException          if the stand-in does not answer
     * @throws InterruptedException if the wait is interrupted
     */
    long appends() throws IOException, InterruptedException {
        return Long.parseLong(send(port(0), "/standin/appends", "", "").body());
    }

    /**
     * Reads a value of the {@code ragwortpitch_control} metric of a daemon.
     *
     * @param name value of the label {@code value}
     * @throws IOException          if the metrics cannot be read or lack the value
     * @throws InterruptedException if the wait is interrupted
     */
    double control(MeasuredDaemon daemon, String name) throws IOException, InterruptedException {
        String metrics = send(daemon.operatorPort(), "/metrics", "", "").body();
        Matcher value = Pattern.compile("ragwortpitch_control\\{value=\"" + name + "\"} (\\S+)")
                .matcher(metrics);
        if (!value.find()) {
            throw new IOException("no control metric " + name);
        }
        return Double.parseDouble(value.group(1));
    }

    /**
     * Returns the port of one part of the stand-in.
     *
     * @param part 0 for the platform, from 1 on for the engines
     */
    int port(int part) {
        String address = standin.addresses().get(part);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    List<MeasuredDaemon> daemons() {
        return List.copyOf(daemons);
    }

    @Override
    public void close() throws IOException {
        for (MeasuredDaemon daemon : daemons) {
            daemon.close();
        }
        standin.close();
    }
}
