package org.ragwortpitch.scenarios;

import java.io.IOException;

/**
 * State that the step classes of one scenario share; Cucumber creates one instance for each scenario.
 */
public class World {

    private Deployment deployment;

    Deployment deployment() {
        return deployment;
    }

    void begin(Deployment begun) {
        deployment = begun;
    }

    void end() throws IOException {
        if (deployment != null) {
            deployment.close();
        }
    }
}
