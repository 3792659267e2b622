package org.ragwortpitch.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.platform.ListedEndpoint;
import org.ragwortpitch.standin.EngineFault;
import org.ragwortpitch.standin.Faults;
import org.ragwortpitch.standin.LinkFault;

/**
 * Step definitions that inject and clear faults.
 */
public class FaultSteps {

    private static final String POISON_PROMPT = "please crash-this-endpoint";

    private final World world;

    private final List<CompletableFuture<Reply>> concurrentStreams = new ArrayList<>();

    public FaultSteps(World world) {
        this.world = world;
    }

    @When("the log becomes unavailable")
    public void theLogBecomesUnavailable() {
        world.deployment().faults(new Faults(true, 0, 0, 0, false, 0, EngineFault.NONE, 0, 0));
    }

    @When("all faults are cleared")
    public void allFaultsAreCleared() {
        world.deployment().faults(Faults.NONE);
        world.deployment().daemons().forEach(daemon -> {
            daemon.platform().fault(LinkFault.NONE);
            daemon.peers().fault(LinkFault.NONE);
        });
    }

    @When("the log delays each answer by {int} ms, reads lag by {int} ms and {int} of 1000 append answers are lost")
    public void theLogIsSlow(int delayMillis, int lagMillis, int permille) {
        world.deployment()
                .faults(new Faults(false, delayMillis, lagMillis, permille, false, 0, EngineFault.NONE, 0, 0));
    }

    @When("{int} of 1000 usage answers are lost")
    public void usageAnswersAreLost(int permille) {
        world.deployment().faults(new Faults(false, 0, 0, 0, false, permille, EngineFault.NONE, 0, 0));
    }

    @When("{int} of 1000 service answers are lost")
    public void serviceAnswersAreLost(int permille) {
        world.deployment().faults(new Faults(false, 0, 0, 0, false, 0, EngineFault.NONE, 0, permille));
    }

    @When("{int} of 1000 engine answers have the fault {word}")
    public void engineAnswersHaveFault(int permille, String fault) {
        world.deployment().faults(new Faults(false, 0, 0, 0, false, 0, EngineFault.valueOf(fault), permille, 0));
    }

    @When("daemon {int} is cut off from the log")
    public void isCutOffFromTheLog(int daemon) {
        world.deployment().daemon(daemon).platform().fault(LinkFault.CUT);
    }

    @When("daemon {int} is half-open towards the log")
    public void isHalfOpenTowardsTheLog(int daemon) {
        world.deployment().daemon(daemon).platform().fault(LinkFault.SILENT);
    }

    @When("the daemons are cut off from each other")
    public void theDaemonsAreCutOffFromEachOther() {
        world.deployment().daemons().forEach(daemon -> daemon.peers().fault(LinkFault.CUT));
    }

    @When("every lease has expired")
    public void everyLeaseHasExpired() {
        Await.until(
                "expiry of all leases", 20_000, () -> world.deployment().alive().allMatch(daemon -> world.deployment()
                        .get(daemon.operatorPort(), "/metrics")
                        .body()
                        .contains("ragwortpitch_control{value=\"lease_remaining_ms\"} 0.0")));
    }

    @When("the rules assign engine {int} the role {word}")
    public void theRulesAssignRole(int engine, String role) throws IOException {
        Deployment deployment = world.deployment();
        DaemonProcess through = deployment.alive().findFirst().orElseThrow();
        String proposed = deployment
                .document(through)
                .text()
                .replaceAll("(?m)^(endpoint e" + engine + " [^#]*?)(role=\\w+ )?#", "$1role=" + role + " #");
        Reply reply = deployment.propose(through, deployment.document(through).version(), proposed);
        assertEquals(200, reply.status(), reply.body());
    }

    @Then("within {int} ms engine {int} has the role {word}, after {int} distinct order(s)")
    public void engineHasRole(int withinMillis, int engine, String role, int orders) throws IOException {
        Deployment deployment = world.deployment();
        Await.until("the role of engine " + engine, withinMillis, () -> deployment
                .standin(engine, "/v1/load")
                .path("role")
                .asText()
                .equals(role));
        assertEquals(
                orders,
                deployment.standin(engine, "/standin/orders").findValues("argument").stream()
                        .distinct()
                        .count());
    }

    @When("the platform announces that it reclaims engine {int}")
    public void thePlatformReclaims(int engine) {
        Deployment deployment = world.deployment();
        ListedEndpoint notice = new ListedEndpoint("e" + engine, "m", "", "cheap", "", 0, 5_000);
        deployment.post(deployment.port(0), "/standin/reclaim", "", Json.write(notice));
    }

    @Then("within {int} ms engine {int} gets no new requests")
    public void engineGetsNoNewRequests(int withinMillis, int engine) throws IOException {
        Await.until("the end of new requests", withinMillis, () -> requestsReceivedDuringCalls(engine) == 0);
        assertEquals(0, requestsReceivedDuringCalls(engine) + requestsReceivedDuringCalls(engine));
    }

    private int requestsReceivedDuringCalls(int engine) throws IOException {
        Deployment deployment = world.deployment();
        int before = deployment.standin(engine, "/standin/received").size();
        deployment
                .alive()
                .forEach(daemon ->
                        assertEquals(200, deployment.call(daemon, "hello", 1).status()));
        return deployment.standin(engine, "/standin/received").size() - before;
    }

    @When("a poison request is sent through daemon {int} beside {int} others")
    public void aPoisonRequestIsSent(int daemon, int others) {
        Deployment deployment = world.deployment();
        DaemonProcess through = deployment.daemon(daemon);
        for (int other = 0; other < others; other++) {
            concurrentStreams.add(deployment.stream(through, "harmless " + other, 150));
        }
        Await.until("all other requests running", 10_000, () -> deployment.running() >= others);
        Reply first = deployment.call(through, POISON_PROMPT, 5);
        assertEquals(422, first.status(), first.body());
    }

    @Then("every other caller gets the complete answer")
    public void everyOtherCallerGetsTheCompleteAnswer() throws IOException {
        for (CompletableFuture<Reply> stream : concurrentStreams) {
            Reply reply = stream.join();
            assertTrue(reply.status() == 200 && reply.streamed().finished(), reply.body());
        }
    }

    @Then("within {int} ms every daemon refuses it without running it")
    public void everyDaemonRefusesIt(int withinMillis) {
        Deployment deployment = world.deployment();
        Await.until("refusal by every daemon", withinMillis, () -> deployment
                .alive()
                .allMatch(daemon -> {
                    Reply reply = deployment.call(daemon, POISON_PROMPT, 5);
                    return reply.status() == 422 && reply.body().contains("\"ran\":\"no\"");
                }));
    }
}
