package org.ragwortpitch.client;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Flags and positional arguments of a command. Each flag can also be set by an environment variable:
 * {@code --daemon} is {@code RAGWORTPITCH_DAEMON}.
 */
public final class ClientSettings {

    @Option(name = "--daemon", usage = "operators' address of any daemon, as host:port")
    private String daemon = "127.0.0.1:8082";

    @Option(name = "--operator-token", usage = "the operators' token")
    private String token = "";

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    @Option(name = "--wait", usage = "wait until applied rules are in force on all daemons")
    private boolean waits;

    @Option(name = "--wait-millis", usage = "how long to wait at most")
    private long waitMillis = 30_000;

    @Option(name = "--based-on", usage = "version that the rules were edited from, or 'current' to overwrite")
    private String basedOn = "";

    @Option(name = "--operator", usage = "who applies the change; written to the log")
    private String operator = System.getProperty("user.name", "unknown");

    @Option(name = "--asked-by", usage = "who asked for the rule; becomes its comment")
    private String askedBy = "";

    @Option(name = "--help", usage = "print this help")
    private boolean help;

    @Argument(metaVar = "COMMAND")
    private List<String> arguments = new ArrayList<>();

    /**
     * Returns the operators' address of the daemon to call, as host:port.
     */
    String daemon() {
        return daemon;
    }

    String token() {
        return token;
    }

    boolean isJson() {
        return json;
    }

    /**
     * Returns whether to wait until accepted rules are in force on all daemons.
     */
    boolean isWaiting() {
        return waits;
    }

    /**
     * Returns how long to wait at most until rules are in force, in milliseconds.
     */
    long waitMillis() {
        return waitMillis;
    }

    /**
     * Returns the version that the rules were edited from, {@code current} to overwrite, or an empty string.
     */
    String basedOn() {
        return basedOn;
    }

    /**
     * Returns who applies the change, as written to the log.
     */
    String operator() {
        return operator;
    }

    /**
     * Returns who asked for the rule, which becomes its comment.
     */
    String askedBy() {
        return askedBy;
    }

    boolean isHelp() {
        return help;
    }

    /**
     * Returns a positional argument, or an empty string if it is missing.
     *
     * @param index the position, from 0
     */
    String argument(int index) {
        return index < arguments.size() ? arguments.get(index) : "";
    }

    /**
     * Returns the positional arguments from an index on, which may be none.
     *
     * @param index the position, from 0
     */
    List<String> argumentsFrom(int index) {
        return index < arguments.size() ? List.copyOf(arguments.subList(index, arguments.size())) : List.of();
    }
}
