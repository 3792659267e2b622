package org.ragwortpitch.daemon;

import java.util.Arrays;
import org.ragwortpitch.logging.LogFormat;
import org.ragwortpitch.server.Daemon;
import org.ragwortpitch.server.DaemonSettings;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Entry point of a daemon: runs it until the process is terminated, then drains and closes it.
 */
public final class Main {

    private static final int INVALID_SETTINGS_EXIT_CODE = 2;

    private Main() {}

    /**
     * Starts a daemon. Exits with code 2 and a message if a setting is invalid.
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
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        }
    }

    private static void stop(Daemon daemon) {
        daemon.drain();
        daemon.close();
        Runtime.getRuntime().halt(0);
    }
}
