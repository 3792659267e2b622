package org.ragwortpitch.measure;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.logging.LogFormat;

/**
 * Entry point of the measurements.
 */
public final class Main {

    private static final int USAGE_ERROR = 2;

    /**
     * Measurements by command name.
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

    private Main() {}

    /**
     * Runs one measurement and ends the process; the exit code is 2 for an unknown name.
     *
     * @param arguments the measurement's name followed by its arguments
     * @throws Exception if the measurement fails
     */
    public static void main(String[] arguments) throws Exception {
        LogFormat.install();
        Measurement measurement = arguments.length == 0 ? null : MEASUREMENTS.get(arguments[0]);
        if (measurement == null) {
            System.err.println("usage: measure one of " + MEASUREMENTS.keySet() + " [arguments]");
            System.exit(USAGE_ERROR);
        }
        Arguments rest = new Arguments(java.util.List.of(arguments).subList(1, arguments.length));
        measurement.run(rest, System.out);
        System.exit(0);
    }
}
