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
 * The words that make things fail.
 */
public class FaultSteps {

    private static final String CRASH = "please crash-this-endpoint";

    private final World world;

    private final List<CompletableFuture<Reply>> bystanders = new ArrayList<>();

    public FaultSteps(World world) {
        this.world = world;
    }

    @When("the log goes out")
    public void theLogGoesOut() {
        world.deployment().faults(new Faults(true, 0, 0, 0, false, 0, EngineFault.NONE, 0, 0));
    }

    @When("all is well again")
    public void allIsWellAgain() {
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

    @When("{int} of 1000 engine answers show {word}")
    public void engineAnswersShow(int permille, String fault) {
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

    @When("every lease has run out")
    public void everyLeaseHasRunOut() {
        Await.until("all leases running out", 20_000, () -> world.deployment()
                .alive()
                .allMatch(daemon -> world.deployment()
                        .get(daemon.operatorPort(), "/metrics")
                        .body()
                        .contains("ragwortpitch_control{value=\"lease_remaining_ms\"} 0.0")));
    }

    @When("rules want engine {int} to be {word}")
    public void rulesWantRole(int engine, String role) throws IOException {
        Deployment deployment = world.deployment();
        DaemonProcess through = deployment.alive().findFirst().orElseThrow();
        String wanted = deployment
                .document(through)
                .text()
                .replaceAll("(?m)^(endpoint e" + engine + " [^#]*?)(role=\\w+ )?#", "$1role=" + role + " #");
        Reply reply = deployment.propose(through, deployment.document(through).version(), wanted);
        assertEquals(200, reply.status(), reply.body());
    }

    @Then("within {int} ms engine {int} is {word}, by {int} kind(s) of order")
    public void engineIs(int withinMillis, int engine, String role, int orders) throws IOException {
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

    @When("the platform announces to take engine {int} back")
    public void thePlatformTakesBack(int engine) {
        Deployment deployment = world.deployment();
        ListedEndpoint notice = new ListedEndpoint("e" + engine, "m", "", "cheap", "", 0, 5_000);
        deployment.post(deployment.port(0), "/standin/reclaim", "", Json.write(notice));
    }

    @Then("within {int} ms engine {int} gets no new work")
    public void engineGetsNoNewWork(int withinMillis, int engine) throws IOException {
        Await.until("the end of new work", withinMillis, () -> receivedByCalls(engine) == 0);
        assertEquals(0, receivedByCalls(engine) + receivedByCalls(engine));
    }

    private int receivedByCalls(int engine) throws IOException {
        Deployment deployment = world.deployment();
        int before = deployment.standin(engine, "/standin/received").size();
        deployment
                .alive()
                .forEach(daemon ->
                        assertEquals(200, deployment.call(daemon, "hello", 1).status()));
        return deployment.standin(engine, "/standin/received").size() - before;
    }

    @When("a request that crashes endpoints is sent through daemon {int} beside {int} others")
    public void aCrashingRequestIsSent(int daemon, int others) {
        Deployment deployment = world.deployment();
        DaemonProcess through = deployment.daemon(daemon);
        for (int other = 0; other < others; other++) {
            bystanders.add(deployment.stream(through, "harmless " + other, 150));
        }
        Await.until("the others running", 10_000, () -> deployment.running() >= others);
        Reply first = deployment.call(through, CRASH, 5);
        assertEquals(422, first.status(), first.body());
    }

    @Then("every other caller gets the whole answer")
    public void everyOtherCallerGetsTheWholeAnswer() throws IOException {
        for (CompletableFuture<Reply> bystander : bystanders) {
            Reply reply = bystander.join();
            assertTrue(reply.status() == 200 && reply.streamed().finished(), reply.body());
        }
    }

    @Then("within {int} ms every daemon refuses it without running it")
    public void everyDaemonRefusesIt(int withinMillis) {
        Deployment deployment = world.deployment();
        Await.until("refusal everywhere", withinMillis, () -> deployment.alive().allMatch(daemon -> {
            Reply reply = deployment.call(daemon, CRASH, 5);
            return reply.status() == 422 && reply.body().contains("\"ran\":\"no\"");
        }));
    }
}
