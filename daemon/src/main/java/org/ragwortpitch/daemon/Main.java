package org.ragwortpitch.daemon;

import java.util.Arrays;
import org.ragwortpitch.logging.LogFormat;
import org.ragwortpitch.server.Daemon;
import org.ragwortpitch.server.DaemonSettings;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Runs a daemon until it is told to stop, then shuts it down gracefully.
 */
public final class Main {

    /**
     * The exit code for wrong settings.
     */
    private static final int WRONG_SETTINGS = 2;

    /**
     * Not to be made.
     */
    private Main() {}

    /**
     * Starts a daemon.
     *
     * @param arguments the flags
     */
    public static void main(String[] arguments) {
        LogFormat.install();
        if (Arrays.asList(arguments).contains("--help")) {
            System.out.print(DaemonSettings.help());
            return;
        }
        try {
            Daemon daemon = new Daemon(DaemonSettings.read(arguments, System.getenv()));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        } catch (InvalidSettingException exception) {
            System.err.println(exception.getMessage());
            System.exit(WRONG_SETTINGS);
        }
    }

    /**
     * Shuts a daemon down gracefully.
     *
     * @param daemon the daemon
     */
    private static void stop(Daemon daemon) {
        daemon.drain();
        daemon.close();
        Runtime.getRuntime().halt(0);
    }
}
