package org.ragwortpitch.measure;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.logging.LogFormat;

/**
 * Runs a measurement.
 */
public final class Main {

    /**
     * The exit code for wrong use.
     */
    private static final int WRONG_USE = 2;

    /**
     * The measurements by name.
     */
    private static final Map<String, Measurement> MEASUREMENTS = new TreeMap<>(Map.of(
            "fold", new FoldMeasurement(),
            "memory", new MemoryMeasurement(),
            "limits", new LimitMeasurement(),
            "fairness", new FairnessMeasurement(),
            "routing", new RoutingMeasurement(),
            "daemons", new DaemonsMeasurement(),
            "latency", new LatencyMeasurement(),
            "capacity", new CapacityTables()));

    /**
     * Not to be made.
     */
    private Main() {}

    /**
     * Runs a measurement.
     *
     * @param arguments the measurement's name, then its own arguments
     * @throws Exception if it fails
     */
    public static void main(String[] arguments) throws Exception {
        LogFormat.install();
        Measurement measurement = arguments.length == 0 ? null : MEASUREMENTS.get(arguments[0]);
        if (measurement == null) {
            System.err.println("usage: measure one of " + MEASUREMENTS.keySet() + " [arguments]");
            System.exit(WRONG_USE);
        }
        Arguments rest = new Arguments(java.util.List.of(arguments).subList(1, arguments.length));
        measurement.run(rest, System.out);
        System.exit(0);
    }
}
