package org.ragwortpitch.soak;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.function.Consumer;
import org.ragwortpitch.adapter.Headers;

/**
 * A client that sends one request after the other. It reuses its connections and stays with a daemon until a request
 * gets no response or status 503; then it picks a daemon at random.
 */
final class Caller implements Runnable {

    /** Routes to draw from; a route that is listed more often is drawn more often. */
    private static final List<String> ROUTES = List.of("check", "check", "check", "book", "book", "ask", "ask", "once");

    private static final long PAUSE_MILLIS = 15;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final Random random;
    private final Random framings;
    private final List<DaemonUnderTest> daemons;
    private final Consumer<Outcome> outcomes;
    private int daemon;
    private volatile boolean stopped;

    Caller(long seed, List<DaemonUnderTest> daemons, Consumer<Outcome> outcomes) {
        this.random = new Random(seed);
        this.framings = new Random(~seed);
        this.daemons = daemons;
        this.outcomes = outcomes;
        this.daemon = random.nextInt(daemons.size());
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                Outcome outcome = send(daemons.get(daemon), ROUTES.get(random.nextInt(ROUTES.size())));
                outcomes.accept(outcome);
                if (outcome.status() == 0 || outcome.status() == 503) {
                    daemon = random.nextInt(daemons.size());
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private Outcome send(DaemonUnderTest target, String route) throws InterruptedException {
        String attempt = UUID.randomUUID().toString();
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + target.front() + "/" + route + "/x"))
                .timeout(Duration.ofSeconds(6))
                .header("Host", SoakWorld.HOST)
                .header(Headers.AUTHORIZATION, "Bearer " + SoakWorld.KEY)
                .header(Headers.ATTEMPT, attempt)
                .header(Headers.DEADLINE, "3000");
        RequestFraming framing = framing(route);
        setBody(request, framing, "body of " + attempt);
        if ("ask".equals(route) || "once".equals(route)) {
            request.header(Headers.TOKENS, "400,5").header(Headers.PREFIX_BLOCKS, "a:300,b:100");
        }
        try {
            HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            String seal = answer.headers().firstValue(Headers.SEAL).orElse("");
            return new Outcome(
                    attempt,
                    route,
                    framing,
                    target.name(),
                    answer.statusCode(),
                    Optional.of(answer.body()),
                    seal,
                    false);
        } catch (ConnectException exception) {
            return new Outcome(attempt, route, framing, target.name(), 0, Optional.empty(), "", false);
        } catch (IOException exception) {
            return new Outcome(attempt, route, framing, target.name(), 0, Optional.empty(), "", true);
        }
    }

    private RequestFraming framing(String route) {
        boolean bodyless = "check".equals(route) && framings.nextBoolean();
        return bodyless
                ? RequestFraming.NO_BODY
                : framings.nextBoolean() ? RequestFraming.LENGTH : RequestFraming.CHUNKED;
    }

    private static void setBody(HttpRequest.Builder request, RequestFraming framing, String body) {
        switch (framing) {
            case NO_BODY -> request.GET();
            case LENGTH -> request.POST(HttpRequest.BodyPublishers.ofString(body));
            case CHUNKED -> request.POST(HttpRequest.BodyPublishers.ofInputStream(
                    () -> new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8))));
            default -> throw new IllegalArgumentException(framing.name());
        }
    }
}
