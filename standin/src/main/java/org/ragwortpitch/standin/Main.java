package org.ragwortpitch.standin;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.ragwortpitch.logging.Event;

/**
 * Runs a stand-in.
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
     * Starts a stand-in that runs until it is ended.
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
            System.exit(WRONG_SETTINGS);
        }
        Standin standin = new Standin(settings);
        System.out.println(Event.of("standin-ready").with("addresses", String.join(",", standin.addresses())));
    }
}
