package org.ragwortpitch.edge;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.InstanceSettingsCodec;
import org.ragwortpitch.edge.log.QueuedLog;
import org.ragwortpitch.logging.LogFormat;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Runs a daemon on the users' platform until the process receives a termination signal.
 */
public final class Main {

    private static final int INVALID_SETTINGS_STATUS = 2;

    /** Port on which metrics are served; must match the deploy file. */
    private static final int METRICS_PORT = 7615;

    /** Interval between checks of the settings file, in milliseconds; it may change without a signal. */
    private static final long SETTINGS_CHECK_MILLIS = 2_000;

    /** Longest wait for the last log lines, in milliseconds; the platform kills the process soon after. */
    private static final long LOG_FLUSH_MILLIS = 200;

    private Main() {}

    /**
     * Starts a daemon with the settings file that an environment variable names; exits with status 2 if the variable is
     * not set or the file is unreadable or invalid.
     */
    public static void main(String[] arguments) {
        QueuedLog log = QueuedLog.install(new LogFormat(), System.out);
        String file = System.getenv(InstanceSettingsCodec.VARIABLE);
        if (file == null) {
            System.err.println(
                    InstanceSettingsCodec.VARIABLE + " is not set; it must name the platform's settings file");
            System.exit(INVALID_SETTINGS_STATUS);
        }
        LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        try {
            Edge edge = new Edge(
                    InstanceSettingsCodec.read(Path.of(file)), METRICS_PORT, clockMillis, System::currentTimeMillis);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(edge, log), "shutdown"));
            edge.start();
            SettingsFileWatcher watcher = new SettingsFileWatcher(Path.of(file), edge::reload);
            watcher.installHangUpHandler();
            edge.checkSettingsEvery(SETTINGS_CHECK_MILLIS, watcher::check);
        } catch (BindException exception) {
            System.err.println("can't listen at the addresses that " + file + " gives: " + exception.getMessage()
                    + "; stop what listens there, or correct Ip, Listen and InternalPorts");
            System.exit(INVALID_SETTINGS_STATUS);
        } catch (IOException exception) {
            System.err.println(file + " can't be read: " + exception.getMessage());
            System.exit(INVALID_SETTINGS_STATUS);
        } catch (InvalidSettingException exception) {
            System.err.println(exception.getMessage());
            System.exit(INVALID_SETTINGS_STATUS);
        }
    }

    private static void stop(Edge edge, QueuedLog log) {
        try {
            edge.drain();
            log.awaitWritten(LOG_FLUSH_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
