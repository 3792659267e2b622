package org.ragwortpitch.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.uuid.Generators;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.standin.StandinText;

/**
 * The words of the scenarios.
 */
public class Steps {

    private static final String PROMPT = "May two renters share one waiver?";

    private final World world;

    private Deployment deployment;

    private final List<CompletableFuture<Reply>> streams = new ArrayList<>();

    private final List<Reply> replies = new ArrayList<>();

    private DaemonProcess holder;

    private String operation = "";

    private int finished;

    private int streamTokens;

    private int number;

    public Steps(World world) {
        this.world = world;
    }

    @After
    public void stop() throws IOException {
        world.end();
    }

    @Given("{int} daemons in force")
    public void daemonsInForce(int count) throws IOException {
        daemonsBefore(count, 1_000_000);
    }

    @Given("{int} daemons before a log that keeps {int} records")
    public void daemonsBefore(int count, int records) throws IOException {
        deployment = new Deployment(records);
        world.begin(deployment);
        deployment.startDaemons(count);
        deployment.applyRules();
        finished = count;
    }

    @When("each daemon is asked for {int} tokens, streamed")
    public void eachIsAskedStreamed(int tokens) {
        askEach(tokens, "");
    }

    @When("each daemon is asked for {int} tokens, {int} times at once")
    public void eachIsAskedTimes(int tokens, int times) {
        for (int time = 0; time < times; time++) {
            askEach(tokens, " " + time);
        }
    }

    private void askEach(int tokens, String suffix) {
        streamTokens = tokens;
        deployment
                .alive()
                .forEach(daemon -> streams.add(deployment.stream(daemon, PROMPT + suffix, tokens)
                        .thenApply(reply -> checked(reply, PROMPT + suffix, tokens))));
    }

    private static Reply checked(Reply reply, String content, int tokens) {
        try {
            if (reply.status() == 200 && reply.streamed().finished()) {
                String expected = StandinText.answer(Deployment.promptOf(content), tokens);
                assertEquals(expected, reply.streamed().text());
            }
            return reply;
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Then("every caller gets the whole answer, byte for byte")
    public void everyCallerGetsTheWholeAnswer() throws IOException {
        for (CompletableFuture<Reply> stream : streams) {
            Reply reply = stream.join();
            assertEquals(200, reply.status(), reply.body());
            assertTrue(reply.streamed().finished(), reply.body());
            finished++;
        }
        streams.clear();
    }

    @Then("every caller gets the whole answer or an error that says so")
    public void everyCallerGetsTheWholeAnswerOrAnError() throws IOException {
        for (CompletableFuture<Reply> stream : streams) {
            Reply reply = stream.join();
            boolean whole = reply.status() == 200 && reply.streamed().finished();
            finished += whole ? 1 : 0;
            assertTrue(whole || reply.body().contains("\"kind\":"), reply.body());
        }
        streams.clear();
    }

    @Then("no endpoint has received the key")
    public void noEndpointHasReceivedTheKey() throws IOException {
        int seen = 0;
        for (int part = 1; part <= Deployment.engines(); part++) {
            JsonNode received = deployment.standin(part, "/standin/received");
            seen += received.size();
            assertTrue(!received.toString().contains(Deployment.KEY));
        }
        assertTrue(seen > 0);
        Reply lookup = deployment.get(deployment.daemon(1).callerPort(), "/services/s/open/1");
        assertEquals(200, lookup.status(), lookup.body());
        assertTrue(!lookup.body().contains("authorization") && !lookup.body().contains(Deployment.TOKEN));
    }

    @When("a signature is sent to each daemon under one idempotency key")
    public void aSignatureIsSentToEach() {
        operation = Generators.timeBasedEpochGenerator().generate().toString();
        replies.clear();
        deployment.alive().forEach(daemon -> replies.add(deployment.sign(daemon, operation)));
    }

    @Then("the service has run it {int} time(s)")
    public void theServiceHasRunIt(int times) throws IOException {
        JsonNode runs = deployment.standin(Deployment.serviceParts(), "/standin/runs");
        assertEquals(times, runs.path(operation).asInt(0));
    }

    @Then("each signature is answered alike")
    public void eachSignatureIsAnsweredAlike() {
        replies.forEach(reply -> assertEquals(200, reply.status(), reply.body()));
        assertEquals(1, replies.stream().map(Reply::body).distinct().count());
    }

    @Then("each signature is refused as ran {word}")
    public void eachSignatureIsRefused(String ran) throws IOException {
        for (Reply reply : replies) {
            assertEquals(ran, reply.ran(), reply.body());
        }
    }

    @When("the key is withdrawn through daemon {int}")
    public void theKeyIsWithdrawn(int daemon) throws IOException {
        DaemonProcess through = deployment.daemon(daemon);
        long version = deployment.document(through).version();
        Reply reply = deployment.propose(through, version, deployment.rules().replaceAll("(?m)^key .*\n", ""));
        assertEquals(200, reply.status(), reply.body());
    }

    @Then("within {int} ms no daemon takes the key")
    public void noDaemonTakesTheKey(int withinMillis) {
        Await.until("refusal of the key everywhere", withinMillis, () -> deployment
                .alive()
                .allMatch(daemon -> deployment.call(daemon, PROMPT, 1).status() != 200));
        deployment
                .alive()
                .forEach(daemon ->
                        assertTrue(deployment.call(daemon, PROMPT, 1).body().contains("\"ran\":\"no\"")));
    }

    @Then("within {int} ms the streams under way have ended with {word}")
    public void theStreamsHaveEndedWith(int withinMillis, String kind) {
        Await.until(
                "the end of all streams", withinMillis, () -> streams.stream().allMatch(CompletableFuture::isDone));
        streams.forEach(stream -> assertTrue(stream.join().body().contains("\"kind\":\"" + kind + "\"")));
        streams.clear();
    }

    @When("the streams have begun")
    public void theStreamsHaveBegun() {
        Await.until("tokens of all streams", 10_000, () -> {
            return deployment.running() >= streams.size();
        });
    }

    @When("the holder of the {word} duty is {word}")
    public void theHolderIs(String duty, String fate) throws IOException, InterruptedException {
        holder = holderOf(duty);
        if (fate.equals("killed")) {
            holder.kill();
        } else {
            holder.signal("STOP");
        }
    }

    @When("the frozen daemon wakes")
    public void theFrozenDaemonWakes() throws IOException, InterruptedException {
        holder.signal("CONT");
        deployment.awaitReady(holder);
    }

    @Then("within {int} ms another daemon holds the {word} duty")
    public void anotherHolds(int withinMillis, String duty) {
        String before = holder.name();
        Await.until("another holder", withinMillis, () -> {
            DaemonProcess now = holderOf(duty);
            return !now.name().equals(before);
        });
    }

    private DaemonProcess holderOf(String duty) throws IOException {
        DaemonProcess witness = deployment
                .alive()
                .filter(daemon -> daemon != holder)
                .findFirst()
                .orElseThrow();
        var status = deployment.status(witness);
        Incarnation incarnation = status.duties().stream()
                .filter(term -> term.duty().value().equals(duty))
                .map(DutyTerm::holder)
                .findFirst()
                .orElseThrow();
        String instance = status.members().stream()
                .filter(member -> member.incarnation().equals(incarnation))
                .map(Member::instance)
                .findFirst()
                .orElseThrow()
                .value();
        return deployment.daemons().stream()
                .filter(daemon -> daemon.name().equals(instance))
                .findFirst()
                .orElseThrow();
    }

    @Then("the reported requests equal the finished answers, and no window has two sets of figures")
    public void theReportedRequestsEqualTheFinished() throws IOException {
        Await.until("the report of " + finished + " requests", 30_000, () -> reportedRequests() == finished);
        assertEquals(0, deployment.standin(0, "/standin/conflicts").size());
    }

    @Then("at least the finished answers are reported, and no window has two sets of figures")
    public void atLeastTheFinishedAreReported() throws IOException {
        Await.until("the report of " + finished + " requests", 30_000, () -> reportedRequests() >= finished);
        assertEquals(0, deployment.standin(0, "/standin/conflicts").size());
    }

    private int reportedRequests() throws IOException {
        int requests = 0;
        for (JsonNode report : deployment.standin(0, "/usage/reports")) {
            for (JsonNode line : report.path("lines")) {
                requests += line.path("key").path("model").asText().equals("m")
                        ? line.path("requests").asInt()
                        : 0;
            }
        }
        return requests;
    }

    @When("two operators apply different rules based on one version")
    public void twoOperatorsApply() throws IOException {
        long version = deployment.document(deployment.daemon(1)).version();
        String rules = deployment.rules();
        List<CompletableFuture<Reply>> applying = new ArrayList<>();
        for (int daemon = 1; daemon <= 2; daemon++) {
            String text = rules + "failure-domain extra" + daemon + " # operator " + daemon + "\n";
            DaemonProcess through = deployment.daemon(daemon);
            applying.add(CompletableFuture.supplyAsync(() -> deployment.propose(through, version, text)));
        }
        applying.forEach(each -> replies.add(each.join()));
    }

    @Then("one of them is accepted, the other is told to read again, and all daemons agree")
    public void oneOfThemIsAccepted() throws IOException {
        assertEquals(
                List.of(200, 409), replies.stream().map(Reply::status).sorted().toList());
        long version = replies.stream()
                .filter(reply -> reply.status() == 200)
                .findFirst()
                .orElseThrow()
                .json()
                .path("version")
                .asLong();
        deployment.awaitInForce(version);
        assertEquals(
                1,
                deployment
                        .alive()
                        .map(daemon -> deployment
                                .get(daemon.operatorPort(), "/operator/rules")
                                .body())
                        .distinct()
                        .count());
    }

    @When("each daemon in turn is replaced gracefully under traffic")
    public void eachIsReplaced() throws IOException, InterruptedException {
        List<DaemonProcess> former = List.copyOf(deployment.daemons());
        for (DaemonProcess leaving : former) {
            DaemonProcess coming = deployment.add();
            coming.awaitBound();
            deployment.awaitReady(coming);
            for (int stream = 0; stream < 3; stream++) {
                String content = PROMPT + " " + number++;
                streams.add(deployment.stream(leaving, content, 100).thenApply(reply -> checked(reply, content, 100)));
            }
            theStreamsHaveBegun();
            leaving.terminate();
            assertEquals(0, leaving.awaitExit(30_000), leaving.logText());
            everyCallerGetsTheWholeAnswer();
        }
    }

    @Then("the log was trimmed, and a daemon that starts now serves by the same rules")
    public void aDaemonThatStartsNowServes() throws IOException {
        String port = "/log/read?from=0&max=1&wait-millis=0";
        Await.until(
                "trimming",
                60_000,
                () -> deployment.standin(0, port).path("oldestOffset").asLong() > 40);
        DaemonProcess late = deployment.add();
        late.awaitBound();
        deployment.awaitReady(late);
        String expected = deployment
                .get(deployment.daemon(1).operatorPort(), "/operator/rules")
                .body();
        Await.until("the same rules", 10_000, () -> deployment
                .get(late.operatorPort(), "/operator/rules")
                .body()
                .equals(expected));
        Await.until("an answer", 10_000, () -> deployment.call(late, PROMPT, 1).status() == 200);
    }

    @When("a caller vanishes amid a stream of {int} tokens")
    public void aCallerVanishes(int tokens) {
        askEach(tokens, "");
        theStreamsHaveBegun();
        streams.forEach(stream -> stream.cancel(true));
        streams.clear();
        deployment.vanish();
    }

    @Then("within {int} ms the endpoints have stopped its work")
    public void theEndpointsHaveStopped(int withinMillis) {
        Await.until("cancellation", withinMillis, () -> {
            return deployment.running() == 0;
        });
    }

    @Then("rules applied through daemon {int} are in force everywhere within {int} ms")
    public void rulesAreInForceWithin(int daemon, int withinMillis) throws IOException {
        long version = deployment.document(deployment.daemon(daemon)).version();
        String text = deployment.rules() + "failure-domain later" + number++ + " # Ana\n";
        long startNanos = System.nanoTime();
        Reply reply = deployment.propose(deployment.daemon(daemon), version, text);
        assertEquals(200, reply.status(), reply.body());
        deployment.awaitInForce(reply.json().path("version").asLong());
        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(tookMillis <= withinMillis, "took " + tookMillis + " ms");
    }

    @When("daemon {int} is killed and started anew")
    public void isKilledAndStartedAnew(int daemon) throws IOException {
        deployment.daemon(daemon).kill();
        deployment.daemon(daemon).start();
        deployment.daemon(daemon).awaitBound();
        deployment.awaitReady(deployment.daemon(daemon));
    }
}
