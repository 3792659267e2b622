package org.ragwortpitch.measure;

import java.io.PrintStream;

/**
 * A measurement that one command runs.
 */
interface Measurement {

    /**
     * Runs the measurement.
     *
     * @param table receives the result, usually as comma-separated values with a header line
     * @throws Exception if the measurement fails
     */
    void run(Arguments arguments, PrintStream table) throws Exception;
}
