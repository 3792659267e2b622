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
 * Daemons before stand-ins, with rules for one account and one model.
 */
final class MeasuredFleet implements AutoCloseable {

    /**
     * The client key.
     */
    static final String KEY = "key-of-measurements";

    /**
     * The stand-ins.
     */
    private final Standin standin;

    /**
     * The daemons.
     */
    private final List<MeasuredDaemon> daemons = new ArrayList<>();

    /**
     * Calls daemons and stand-ins.
     */
    private final HttpClient http = HttpClient.newHttpClient();

    /**
     * Starts a fleet and waits until it serves.
     *
     * @param count    how many daemons
     * @param settings the stand-ins' settings
     * @param jvmFlags flags of the daemons' virtual machines
     * @throws IOException          if it cannot be started
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
     * Tells whether all daemons are members.
     *
     * @return whether they are
     * @throws IOException          if one does not answer
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
     * Counts the daemons that serve.
     *
     * @return the count
     * @throws IOException          if one does not answer
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

    /**
     * Writes the rules.
     *
     * @return the rules
     */
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
     * Makes a call's body.
     *
     * @param prompt the prompt
     * @param tokens the tokens to generate
     * @param stream whether the answer comes token by token
     * @return the body
     */
    static String chat(String prompt, int tokens, boolean stream) {
        return "{\"model\":\"m\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    /**
     * Makes a request.
     *
     * @param port  the port
     * @param path  the path
     * @param token the key or token
     * @param body  the body; empty for none
     * @return the request
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
     * Sends a request.
     *
     * @param port  the port
     * @param path  the path
     * @param token the key or token
     * @param body  the body; empty for none
     * @return the answer
     * @throws IOException          if there is none
     * @throws InterruptedException if the wait is interrupted
     */
    HttpResponse<String> send(int port, String path, String token, String body)
            throws IOException, InterruptedException {
        return http.send(request(port, path, token, body), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Counts the appends to the log.
     *
     * @return the count
     * @throws IOException          if the stand-in does not answer
     * @throws InterruptedException if the wait is interrupted
     */
    long appends() throws IOException, InterruptedException {
        return Long.parseLong(send(port(0), "/standin/appends", "", "").body());
    }

    /**
     * Reads a value of a daemon's control state.
     *
     * @param daemon the daemon
     * @param name   the value's name
     * @return the value
     * @throws IOException          if the daemon does not tell
     * @throws InterruptedException if the wait is interrupted
     */
    double control(MeasuredDaemon daemon, String name) throws IOException, InterruptedException {
        String metrics = send(daemon.operatorPort(), "/metrics", "", "").body();
        Matcher value = Pattern.compile("ragwortpitch_control\\{value=\"" + name + "\"} (\\S+)")
                .matcher(metrics);
        if (!value.find()) {
            throw new IOException("no value " + name);
        }
        return Double.parseDouble(value.group(1));
    }

    /**
     * Tells the port of a stand-in's part.
     *
     * @param part the part: 0 for the platform, then the engines
     * @return the port
     */
    int port(int part) {
        String address = standin.addresses().get(part);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /**
     * Tells the daemons.
     *
     * @return the daemons
     */
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
