package org.ragwortpitch.scenarios;

import io.cucumber.java.en.When;
import org.ragwortpitch.standin.EngineFault;
import org.ragwortpitch.standin.Faults;
import org.ragwortpitch.standin.LinkFault;

/**
 * The words that make things fail.
 */
public class FaultSteps {

    private final World world;

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
}
