package org.ragwortpitch.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;

/**
 * Step definitions that send bad input.
 */
public class BadInputSteps {

    private static final String CHAT = "/v1/chat/completions";

    private final World world;

    private Reply reply;

    public BadInputSteps(World world) {
        this.world = world;
    }

    @When("a caller sends {string}")
    public void aCallerSends(String what) throws IOException {
        String chat = Deployment.chat("hello", 1, false);
        reply = switch (what) {
            case "broken JSON" -> post(CHAT, Deployment.KEY, "{\"model\":");
            case "no messages" -> post(CHAT, Deployment.KEY, "{\"model\":\"m\"}");
            case "a negative token limit" -> post(CHAT, Deployment.KEY, chat.replace(":1,", ":-1,"));
            case "more tokens than the burst" -> post(
                    CHAT, Deployment.KEY, Deployment.chat("x".repeat(900_000), 30_000, false));
            case "an unknown model" -> post(CHAT, Deployment.KEY, chat.replace("\"m\"", "\"n\""));
            case "a body over the limit" -> post(CHAT, Deployment.KEY, "x".repeat(5_000_000));
            case "a wrong key" -> post(CHAT, "wrong", chat);
            case "a key in the query" -> post(CHAT + "?api_key=" + Deployment.KEY, Deployment.KEY, chat);
            case "no key" -> world.deployment()
                    .send(HttpRequest.newBuilder(world.deployment()
                                    .request(port(), CHAT, "")
                                    .build()
                                    .uri())
                            .POST(HttpRequest.BodyPublishers.ofString(chat))
                            .build());
            case "an unknown path" -> post("/elsewhere", Deployment.KEY, chat);
            case "a signature without an idempotency key" -> post("/services/s/signatures", Deployment.KEY, "x");
            case "a signature under an old idempotency key" -> world.deployment()
                    .sign(world.deployment().daemon(1), "01800000-0000-7000-8000-000000000000");
            case "two Content-Length headers" -> raw("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc");
            default -> throw new IllegalArgumentException(what);
        };
    }

    private int port() {
        return world.deployment().daemon(1).callerPort();
    }

    private Reply post(String path, String key, String body) {
        return world.deployment().post(port(), path, key, body);
    }

    private Reply raw(String rest) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port())) {
            String head = "POST " + CHAT + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + Deployment.KEY + "\r\n";
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write((head + rest).getBytes(StandardCharsets.US_ASCII));
            byte[] response = new byte[4_096];
            int count = socket.getInputStream().read(response);
            String text = new String(response, 0, Math.max(0, count), StandardCharsets.US_ASCII);
            return new Reply(text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0, text);
        }
    }

    @Then("the answer is {int} with error kind {word}, not run")
    public void theAnswerIs(int status, String kind) throws IOException {
        assertEquals(status, reply.status(), reply.body());
        assertEquals(kind, reply.kind(), reply.body());
        assertEquals("no", reply.ran(), reply.body());
        assertTrue(!reply.json().path("error").path("message").asText().isEmpty());
    }

    @Then("the answer is {int}")
    public void theAnswerIs(int status) {
        assertEquals(status, reply.status(), reply.body());
    }

    @Then("the daemon still serves")
    public void theDaemonStillServes() {
        assertEquals(
                200,
                world.deployment()
                        .call(world.deployment().daemon(1), "hello", 1)
                        .status());
    }
}
