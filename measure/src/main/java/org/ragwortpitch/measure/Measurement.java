package org.ragwortpitch.measure;

import java.io.PrintStream;

/**
 * A measurement.
 */
interface Measurement {

    /**
     * Measures.
     *
     * @param arguments the measurement's arguments
     * @param table     takes the table, as comma-separated values
     * @throws Exception if it fails
     */
    void run(Arguments arguments, PrintStream table) throws Exception;
}
