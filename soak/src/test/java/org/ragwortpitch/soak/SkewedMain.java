package org.ragwortpitch.soak;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.InstanceSettingsCodec;
import org.ragwortpitch.edge.Edge;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Starts a daemon whose wall clock is skewed and steps between slow, right and fast while it runs.
 */
public final class SkewedMain {

    private static final int METRICS_PORT = 7615;

    /** Skew of the wall clock in either direction, in milliseconds. */
    private static final long SKEW_MILLIS = 2_500;

    /** Time between two steps of the skew, in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 4_000;

    private SkewedMain() {}

    /**
     * Starts the daemon with the settings file named in the environment by {@link InstanceSettingsCodec#VARIABLE}.
     *
     * @throws InvalidSettingException if the settings are invalid
     */
    public static void main(String[] arguments) throws InvalidSettingException {
        LongSupplier steadyMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        LongSupplier wallMillis = () ->
                System.currentTimeMillis() + SKEW_MILLIS * (steadyMillis.getAsLong() / STEP_INTERVAL_MILLIS % 3 - 1);
        Path file = Path.of(System.getenv(InstanceSettingsCodec.VARIABLE));
        Edge edge = new Edge(InstanceSettingsCodec.read(file), METRICS_PORT, steadyMillis, wallMillis);
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
