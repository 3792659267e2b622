package org.ragwortpitch.client;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The flags and words of a command. Flags are also environment variables: {@code --daemon} is
 * {@code RAGWORTPITCH_DAEMON}.
 */
public final class ClientSettings {

    /**
     * The daemon to ask.
     */
    @Option(name = "--daemon", usage = "operators' address of any daemon, as host:port")
    private String daemon = "127.0.0.1:8082";

    /**
     * The operators' token.
     */
    @Option(name = "--operator-token", usage = "the operators' token")
    private String token = "";

    /**
     * Whether to print JSON.
     */
    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    /**
     * Whether to wait until rules are in force everywhere.
     */
    @Option(name = "--wait", usage = "wait until applied rules are in force on all daemons")
    private boolean waits;

    /**
     * How long to wait.
     */
    @Option(name = "--wait-millis", usage = "how long to wait at most")
    private long waitMillis = 30_000;

    /**
     * The version that the rules are based on.
     */
    @Option(name = "--based-on", usage = "version that the rules were edited from, or 'current' to overwrite")
    private String basedOn = "";

    /**
     * Who acts.
     */
    @Option(name = "--operator", usage = "who applies the change; written to the log")
    private String operator = System.getProperty("user.name", "unknown");

    /**
     * Who asked for a rule.
     */
    @Option(name = "--asked-by", usage = "who asked for the rule; becomes its comment")
    private String askedBy = "";

    /**
     * Whether to print help.
     */
    @Option(name = "--help", usage = "print this help")
    private boolean help;

    /**
     * The words.
     */
    @Argument(metaVar = "COMMAND")
    private List<String> words = new ArrayList<>();

    /**
     * Tells the daemon to ask.
     *
     * @return the address, as host and port
     */
    String daemon() {
        return daemon;
    }

    /**
     * Tells the operators' token.
     *
     * @return the token
     */
    String token() {
        return token;
    }

    /**
     * Tells whether to print JSON.
     *
     * @return whether to
     */
    boolean isJson() {
        return json;
    }

    /**
     * Tells whether to wait until rules are in force everywhere.
     *
     * @return whether to
     */
    boolean isWaiting() {
        return waits;
    }

    /**
     * Tells how long to wait.
     *
     * @return the time, in milliseconds
     */
    long waitMillis() {
        return waitMillis;
    }

    /**
     * Tells the version that the rules are based on.
     *
     * @return the version, or 'current', or an empty text
     */
    String basedOn() {
        return basedOn;
    }

    /**
     * Tells who acts.
     *
     * @return the operator
     */
    String operator() {
        return operator;
    }

    /**
     * Tells who asked for a rule.
     *
     * @return the comment
     */
    String askedBy() {
        return askedBy;
    }

    /**
     * Tells whether to print help.
     *
     * @return whether to
     */
    boolean isHelp() {
        return help;
    }

    /**
     * Tells a word.
     *
     * @param index its place, from 0
     * @return the word, or an empty text
     */
    String word(int index) {
        return index < words.size() ? words.get(index) : "";
    }

    /**
     * Tells the words from a place on.
     *
     * @param index the place, from 0
     * @return the words
     */
    List<String> wordsFrom(int index) {
        return index < words.size() ? List.copyOf(words.subList(index, words.size())) : List.of();
    }
}
