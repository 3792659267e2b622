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
 * Step definitions for traffic, daemons, rules and usage.
 */
public class Steps {

    private static final String PROMPT = "May two renters share one waiver?";

    private final World world;

    private Deployment deployment;

    private final List<CompletableFuture<Reply>> streams = new ArrayList<>();

    private final List<Reply> replies = new ArrayList<>();

    private DaemonProcess holder;

    private String operation = "";

    private int finishedAnswers;

    private int streamTokens;

    private int number;

    public Steps(World world) {
        this.world = world;
    }

    @After
    public void stop() throws IOException {
        world.end();
    }

    @Given("{int} running daemon(s)")
    public void runningDaemons(int count) throws IOException {
        runningDaemonsAndLog(count, 1_000_000);
    }

    @Given("{int} running daemons and a log that retains {int} records")
    public void runningDaemonsAndLog(int count, int records) throws IOException {
        deployment = new Deployment(records);
        world.begin(deployment);
        deployment.startDaemons(count);
        deployment.applyRules();
        finishedAnswers = count;
    }

    @When("each daemon is asked for {int} tokens, streamed")
    public void eachIsAskedStreamed(int tokens) {
        sendToEach(tokens, "");
    }

    @When("each daemon is asked for {int} tokens, {int} times at once")
    public void eachIsAskedTimes(int tokens, int times) {
        for (int time = 0; time < times; time++) {
            sendToEach(tokens, " " + time);
        }
    }

    private void sendToEach(int tokens, String suffix) {
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

    @Then("every caller gets the complete answer, byte for byte")
    public void everyCallerGetsTheCompleteAnswer() throws IOException {
        for (CompletableFuture<Reply> stream : streams) {
            Reply reply = stream.join();
            assertEquals(200, reply.status(), reply.body());
            assertTrue(reply.streamed().finished(), reply.body());
            finishedAnswers++;
        }
        streams.clear();
    }

    @Then("every caller gets the complete answer or an explicit error")
    public void everyCallerGetsTheCompleteAnswerOrAnError() throws IOException {
        for (CompletableFuture<Reply> stream : streams) {
            Reply reply = stream.join();
            boolean complete = reply.status() == 200 && reply.streamed().finished();
            finishedAnswers += complete ? 1 : 0;
            assertTrue(complete || reply.body().contains("\"kind\":"), reply.body());
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

    @Then("each signature gets the same answer")
    public void eachSignatureGetsTheSameAnswer() {
        replies.forEach(reply -> assertEquals(200, reply.status(), reply.body()));
        assertEquals(1, replies.stream().map(Reply::body).distinct().count());
    }

    @Then("each signature is refused as ran {word}")
    public void eachSignatureIsRefused(String ran) throws IOException {
        for (Reply reply : replies) {
            assertEquals(ran, reply.ran(), reply.body());
        }
    }

    @When("the key is revoked through daemon {int}")
    public void theKeyIsRevoked(int daemon) throws IOException {
        DaemonProcess through = deployment.daemon(daemon);
        long version = deployment.document(through).version();
        Reply reply = deployment.propose(through, version, deployment.rules().replaceAll("(?m)^key .*\n", ""));
        assertEquals(200, reply.status(), reply.body());
    }

    @Then("within {int} ms every daemon rejects the key")
    public void everyDaemonRejectsTheKey(int withinMillis) {
        Await.until("rejection of the key by every daemon", withinMillis, () -> deployment
                .alive()
                .allMatch(daemon -> deployment.call(daemon, PROMPT, 1).status() != 200));
        deployment
                .alive()
                .forEach(daemon ->
                        assertTrue(deployment.call(daemon, PROMPT, 1).body().contains("\"ran\":\"no\"")));
    }

    @Then("within {int} ms the running streams have ended with {word}")
    public void theStreamsHaveEndedWith(int withinMillis, String kind) {
        Await.until(
                "the end of all streams", withinMillis, () -> streams.stream().allMatch(CompletableFuture::isDone));
        streams.forEach(stream -> assertTrue(stream.join().body().contains("\"kind\":\"" + kind + "\"")));
        streams.clear();
    }

    @When("the streams have started")
    public void theStreamsHaveStarted() {
        Await.until("tokens of all streams", 10_000, () -> {
            return deployment.running() >= streams.size();
        });
    }

    @When("the holder of the {word} duty is {word}")
    public void theDutyHolderIs(String duty, String fate) throws IOException, InterruptedException {
        holder = holderOf(duty);
        if (fate.equals("killed")) {
            holder.kill();
        } else {
            holder.signal("STOP");
        }
    }

    @When("the frozen daemon resumes")
    public void theFrozenDaemonResumes() throws IOException, InterruptedException {
        holder.signal("CONT");
        deployment.awaitReady(holder);
    }

    @Then("within {int} ms another daemon holds the {word} duty")
    public void anotherDaemonHoldsDuty(int withinMillis, String duty) {
        String before = holder.name();
        Await.until("another holder of the duty", withinMillis, () -> {
            DaemonProcess now = holderOf(duty);
            return !now.name().equals(before);
        });
    }

    private DaemonProcess holderOf(String duty) throws IOException {
        DaemonProcess observer = deployment
                .alive()
                .filter(daemon -> daemon != holder)
                .findFirst()
                .orElseThrow();
        var status = deployment.status(observer);
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

    @Then("the reported requests equal the finished answers, and no usage window is reported with differing figures")
    public void theReportedRequestsEqualTheFinished() throws IOException {
        Await.until(
                "the report of " + finishedAnswers + " requests", 30_000, () -> reportedRequests() == finishedAnswers);
        assertEquals(0, deployment.standin(0, "/standin/conflicts").size());
    }

    @Then("at least the finished answers are reported, and no usage window is reported with differing figures")
    public void atLeastTheFinishedAreReported() throws IOException {
        Await.until(
                "the report of " + finishedAnswers + " requests", 30_000, () -> reportedRequests() >= finishedAnswers);
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

    @Then("one of them is accepted, the other is refused with a conflict, and all daemons agree")
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
    public void eachDaemonIsReplaced() throws IOException, InterruptedException {
        List<DaemonProcess> former = List.copyOf(deployment.daemons());
        for (DaemonProcess leaving : former) {
            DaemonProcess replacement = deployment.addDaemon();
            replacement.awaitBound();
            deployment.awaitReady(replacement);
            for (int stream = 0; stream < 3; stream++) {
                String content = PROMPT + " " + number++;
                streams.add(deployment.stream(leaving, content, 100).thenApply(reply -> checked(reply, content, 100)));
            }
            theStreamsHaveStarted();
            leaving.terminate();
            assertEquals(0, leaving.awaitExit(30_000), leaving.logText());
            everyCallerGetsTheCompleteAnswer();
        }
    }

    @Then("the log was trimmed, and a newly started daemon serves with the same rules")
    public void aNewlyStartedDaemonServes() throws IOException {
        String path = "/log/read?from=0&max=1&wait-millis=0";
        Await.until(
                "trimming of the log",
                60_000,
                () -> deployment.standin(0, path).path("oldestOffset").asLong() > 40);
        DaemonProcess late = deployment.addDaemon();
        late.awaitBound();
        deployment.awaitReady(late);
        String expected = deployment
                .get(deployment.daemon(1).operatorPort(), "/operator/rules")
                .body();
        Await.until("the same rules", 10_000, () -> deployment
                .get(late.operatorPort(), "/operator/rules")
                .body()
                .equals(expected));
        Await.until(
                "a successful call",
                10_000,
                () -> deployment.call(late, PROMPT, 1).status() == 200);
    }

    @When("a caller disconnects during a stream of {int} tokens")
    public void aCallerDisconnects(int tokens) {
        sendToEach(tokens, "");
        theStreamsHaveStarted();
        streams.forEach(stream -> stream.cancel(true));
        streams.clear();
        deployment.disconnectCallers();
    }

    @Then("within {int} ms the endpoints have cancelled its request")
    public void theEndpointsHaveCancelled(int withinMillis) {
        Await.until("cancellation on all endpoints", withinMillis, () -> {
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

    @When("daemon {int} is killed and restarted")
    public void isKilledAndRestarted(int daemon) throws IOException {
        deployment.daemon(daemon).kill();
        deployment.daemon(daemon).start();
        deployment.daemon(daemon).awaitBound();
        deployment.awaitReady(deployment.daemon(daemon));
    }
}
