package org.ragwortpitch.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.contract.InstanceFile;
import org.ragwortpitch.edge.log.QueuedLog;
import org.ragwortpitch.logging.LogFormat;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Runs a daemon on the users' platform until it is told to stop.
 */
public final class Main {

    private static final int WRONG_SETTINGS = 2;

    /** Where metrics are served; the deploy file names it too. */
    private static final int METRICS_PORT = 7615;

    /** How often the settings file is looked at, in milliseconds; it may change without a signal. */
    private static final long SETTINGS_MILLIS = 2_000;

    /** How long the last log lines may take, in milliseconds; the process is killed soon after. */
    private static final long LAST_LINES_MILLIS = 200;

    private Main() {}

    /**
     * Starts a daemon with the settings file that the environment names.
     */
    public static void main(String[] arguments) {
        QueuedLog log = QueuedLog.install(new LogFormat(), System.out);
        String file = System.getenv(InstanceFile.VARIABLE);
        if (file == null) {
            System.err.println(InstanceFile.VARIABLE + " is not set: let it name the platform's settings file");
            System.exit(WRONG_SETTINGS);
        }
        LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        try {
            Edge edge =
                    new Edge(InstanceFile.read(Path.of(file)), METRICS_PORT, clockMillis, System::currentTimeMillis);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(edge, log), "shutdown"));
            edge.start();
            SettingsWatch watch = new SettingsWatch(Path.of(file), edge::reload);
            watch.onHangUp();
            edge.everyMillis(SETTINGS_MILLIS, watch::check);
        } catch (IOException exception) {
            System.err.println(file + " can't be read any more: " + exception.getMessage());
            System.exit(WRONG_SETTINGS);
        } catch (InvalidSettingException exception) {
            System.err.println(exception.getMessage());
            System.exit(WRONG_SETTINGS);
        }
    }

    private static void stop(Edge edge, QueuedLog log) {
        try {
            edge.drain();
            log.awaitWritten(LAST_LINES_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
