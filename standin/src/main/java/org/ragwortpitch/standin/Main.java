package org.ragwortpitch.standin;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.ragwortpitch.logging.Event;

/**
 * Entry point of the stand-ins.
 */
public final class Main {

    private static final int INVALID_SETTINGS_EXIT_CODE = 2;

    private Main() {}

    /**
     * Starts stand-ins that run until the process is terminated, and prints their addresses.
     *
     * @param arguments the flags
     */
    public static void main(String[] arguments) {
        StandinSettings settings = new StandinSettings();
        CmdLineParser parser = new CmdLineParser(settings);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println(exception.getMessage());
            parser.printUsage(System.err);
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        }
        Standin standin = new Standin(settings);
        System.out.println(Event.of("standin-ready").with("addresses", String.join(",", standin.addresses())));
    }
}
