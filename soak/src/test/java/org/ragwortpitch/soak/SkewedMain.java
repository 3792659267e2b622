package org.ragwortpitch.soak;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.contract.InstanceFile;
import org.ragwortpitch.edge.Edge;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * A daemon whose wall clock is wrong, and is set to and fro while it runs.
 */
public final class SkewedMain {

    private static final int METRICS_PORT = 7615;

    /** How far the clock is off at times, in milliseconds. */
    private static final long SKEW_MILLIS = 2_500;

    /** How long it shows one time, in milliseconds. */
    private static final long TURN_MILLIS = 4_000;

    private SkewedMain() {}

    /**
     * Starts it with the settings file that the environment names.
     */
    public static void main(String[] arguments) throws InvalidSettingException {
        LongSupplier steadyMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        LongSupplier wallMillis =
                () -> System.currentTimeMillis() + SKEW_MILLIS * (steadyMillis.getAsLong() / TURN_MILLIS % 3 - 1);
        Path file = Path.of(System.getenv(InstanceFile.VARIABLE));
        Edge edge = new Edge(InstanceFile.read(file), METRICS_PORT, steadyMillis, wallMillis);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(edge), "shutdown"));
        edge.start();
    }

    private static void drain(Edge edge) {
        try {
            edge.drain();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
