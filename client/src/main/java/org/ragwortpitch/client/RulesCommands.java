package org.ragwortpitch.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.Rule;
import org.ragwortpitch.configuration.RulesDifference;
import org.ragwortpitch.configuration.RulesParser;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.operator.RulesAccepted;
import org.ragwortpitch.operator.RulesDocument;
import org.ragwortpitch.operator.RulesProposal;

/**
 * The commands on rules.
 */
final class RulesCommands {

    /**
     * How a file tells the version that it was read as.
     */
    private static final Pattern VERSION = Pattern.compile("(?m)^# version (-?[0-9]+)$");

    /**
     * How often to look whether rules are in force, in milliseconds.
     */
    private static final long LOOK_MILLIS = 100;

    /**
     * Not to be made.
     */
    private RulesCommands() {}

    /**
     * Checks a file without asking a daemon.
     *
     * @param settings the command's flags and words
     * @param daemon   not asked
     * @param output   takes what is printed
     * @throws CommandException if the file cannot be taken
     */
    static void check(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        Configuration configuration = read(settings.word(2));
        output.print("ok: " + configuration.rules().size() + " rules\n");
    }

    /**
     * Shows the rules in force. The first line tells their version, so that an edited copy can be applied.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the daemon does not answer as wanted
     */
    static void show(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        RulesDocument document = daemon.rules();
        if (settings.isJson()) {
            output.json(document);
        } else {
            output.print("# version " + document.version() + "\n" + document.text());
        }
    }

    /**
     * Shows how a file differs from the rules in force.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the file cannot be taken or the daemon does not answer as wanted
     */
    static void diff(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        List<Rule> wanted = read(settings.word(2)).rules();
        List<Rule> present = parse(daemon.rules().text());
        RulesDifference difference = RulesDifference.between(present, wanted);
        if (settings.isJson()) {
            output.json(difference);
            return;
        }
        difference.removedKeys().forEach(key -> output.print("- " + key + "\n"));
        difference.addedLines().forEach(line -> output.print("+ " + line + "\n"));
        output.print(difference.isEmpty() ? "no difference\n" : "");
    }

    /**
     * Applies a file.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the file cannot be taken, the rules have changed since, or the wait is over
     */
    static void apply(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        Configuration wanted = read(settings.word(2));
        String text = text(wanted.rules());
        long basedOn = basedOn(settings, daemon, readText(settings.word(2)));
        long version = daemon.propose(new RulesProposal(basedOn, text, settings.operator()));
        accepted(settings, daemon, output, version);
    }

    /**
     * Adds or replaces one rule.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @param key      the rule's kind and id
     * @param line     the rule's line; empty to remove the rule
     * @throws CommandException if the rule cannot be taken or the rules change meanwhile
     */
    static void change(ClientSettings settings, DaemonCalls daemon, Output output, String key, String line)
            throws CommandException {
        RulesDocument document = daemon.rules();
        StringBuilder text = new StringBuilder();
        boolean found = false;
        for (Rule rule : parse(document.text())) {
            found |= rule.key().equals(key);
            text.append(rule.key().equals(key) ? "" : rule.text() + "\n");
        }
        if (line.isEmpty() && !found) {
            throw new CommandException(ExitCode.FAILED, "there is no rule '" + key + "': see 'rules show'");
        }
        text.append(line).append('\n');
        try {
            Configuration.parse(text.toString());
        } catch (InvalidRulesException exception) {
            throw new CommandException(ExitCode.USAGE, exception.getMessage());
        }
        long version = daemon.propose(new RulesProposal(document.version(), text.toString(), settings.operator()));
        accepted(settings, daemon, output, version);
    }

    /**
     * Tells that rules were accepted, and waits until they are in force everywhere if that is wanted.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @param version  the rules' version
     * @throws CommandException if the wait is over
     */
    private static void accepted(ClientSettings settings, DaemonCalls daemon, Output output, long version)
            throws CommandException {
        if (settings.isWaiting()) {
            awaitInForce(settings, daemon, output, version);
        }
        if (settings.isJson()) {
            output.json(new RulesAccepted(version));
        } else {
            output.print("accepted as version " + version + "\n");
        }
    }

    /**
     * Waits until all members have a version in force.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @param version  the version
     * @throws CommandException if the wait is over
     */
    private static void awaitInForce(ClientSettings settings, DaemonCalls daemon, Output output, long version)
            throws CommandException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.waitMillis());
        String last = "";
        while (true) {
            List<Member> members = daemon.status().members();
            long inForce = members.stream()
                    .filter(member -> member.acknowledgedOffset() >= version)
                    .count();
            String progress = "in force on " + inForce + " of " + members.size() + " daemons";
            if (!progress.equals(last)) {
                output.note(progress);
                last = progress;
            }
            if (!members.isEmpty() && inForce == members.size()) {
                return;
            }
            if (System.nanoTime() > endNanos) {
                throw new CommandException(
                        ExitCode.NOT_IN_FORCE,
                        "accepted as version " + version + ", but only " + progress + ": look with 'status'");
            }
            pause();
        }
    }

    /**
     * Waits a little.
     */
    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Finds the version that a file was edited from.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param text     the file's text
     * @return the version
     * @throws CommandException if nothing tells it
     */
    private static long basedOn(ClientSettings settings, DaemonCalls daemon, String text) throws CommandException {
        if (settings.basedOn().equals("current")) {
            return daemon.rules().version();
        }
        Matcher header = VERSION.matcher(text);
        String told = settings.basedOn().isEmpty() && header.find() ? header.group(1) : settings.basedOn();
        try {
            return told.isEmpty() ? firstVersion(daemon) : Long.parseLong(told);
        } catch (NumberFormatException exception) {
            throw new CommandException(ExitCode.USAGE, "--based-on '" + told + "' is no version: see 'rules show'");
        }
    }

    /**
     * Takes a file that tells no version as the first one.
     *
     * @param daemon asks the daemon
     * @return the version of no rules
     * @throws CommandException if there are rules already
     */
    private static long firstVersion(DaemonCalls daemon) throws CommandException {
        long version = daemon.rules().version();
        if (version >= 0) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "the file does not tell the version that it was edited from: edit a copy of 'rules show', or pass "
                            + "--based-on VERSION, or --based-on current to overwrite version " + version);
        }
        return version;
    }

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the configuration
     * @throws CommandException if it cannot be taken
     */
    private static Configuration read(String path) throws CommandException {
        try {
            return Configuration.of(RulesParser.parse(readBytes(path)));
        } catch (InvalidRulesException exception) {
            throw new CommandException(ExitCode.USAGE, exception.getMessage().replaceAll("(?m)^", path + ":"));
        }
    }

    /**
     * Reads a file's text.
     *
     * @param path the file
     * @return its text
     * @throws CommandException if it cannot be read
     */
    private static String readText(String path) throws CommandException {
        return new String(readBytes(path), StandardCharsets.UTF_8);
    }

    /**
     * Reads a file's bytes.
     *
     * @param path the file
     * @return its bytes
     * @throws CommandException if it cannot be read
     */
    private static byte[] readBytes(String path) throws CommandException {
        try {
            return Files.readAllBytes(Path.of(path));
        } catch (IOException exception) {
            throw new CommandException(ExitCode.USAGE, "cannot read the rules file '" + path + "': " + exception);
        }
    }

    /**
     * Reads rules that a daemon told.
     *
     * @param text the rules
     * @return the rules
     * @throws CommandException if this program does not understand them
     */
    private static List<Rule> parse(String text) throws CommandException {
        try {
            return RulesParser.parse(text);
        } catch (InvalidRulesException exception) {
            throw new CommandException(
                    ExitCode.FAILED, "the rules in force are of a newer kind; use a newer client: " + exception);
        }
    }

    /**
     * Writes rules as a file.
     *
     * @param rules the rules
     * @return the text
     */
    private static String text(List<Rule> rules) {
        StringBuilder text = new StringBuilder();
        rules.forEach(rule -> text.append(rule.text()).append('\n'));
        return text.toString();
    }
}
