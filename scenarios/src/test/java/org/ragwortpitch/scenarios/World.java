package org.ragwortpitch.scenarios;

import java.io.IOException;

/**
 * What the steps of one scenario share.
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
