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
 * Commands on the rules of a deployment.
 */
final class RulesCommands {

    /**
     * Matches the line that {@code rules show} puts first, which names the version that a file was edited from.
     */
    private static final Pattern VERSION_HEADER = Pattern.compile("(?m)^# version (-?[0-9]+)$");

    private static final long POLL_INTERVAL_MILLIS = 100;

    private RulesCommands() {}

    /**
     * Checks a rules file without calling a daemon.
     *
     * @param daemon not used
     * @throws CommandException if the file cannot be read or is invalid
     */
    static void check(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        Configuration configuration = read(settings.argument(2));
        output.print("ok: " + configuration.rules().size() + " rules\n");
    }

    /**
     * Prints the rules in force. The first line names their version, so that an edited copy can be applied.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    static void show(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        RulesDocument document = daemon.rules();
        if (settings.isJson()) {
            output.printJson(document);
        } else {
            output.print("# version " + document.version() + "\n" + document.text());
        }
    }

    /**
     * Prints the difference between a file and the rules in force.
     *
     * @throws CommandException if the file cannot be read or is invalid, or the daemon does not answer
     */
    static void diff(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        List<Rule> proposed = read(settings.argument(2)).rules();
        List<Rule> current = parse(daemon.rules().text());
        RulesDifference difference = RulesDifference.between(current, proposed);
        if (settings.isJson()) {
            output.printJson(difference);
            return;
        }
        difference.removedKeys().forEach(key -> output.print("- " + key + "\n"));
        difference.addedLines().forEach(line -> output.print("+ " + line + "\n"));
        output.print(difference.isEmpty() ? "no difference\n" : "");
    }

    /**
     * Applies a rules file.
     *
     * @throws CommandException if the file is invalid, the rules in force have changed since the file's version, or the
     * rules are not in force on all daemons within the time to wait
     */
    static void apply(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        Configuration proposed = read(settings.argument(2));
        String text = format(proposed.rules());
        long basedOn = basedOn(settings, daemon, readText(settings.argument(2)));
        long version = daemon.propose(new RulesProposal(basedOn, text, settings.operator()));
        reportAccepted(settings, daemon, output, version);
    }

    /**
     * Adds, replaces or removes one rule of the rules in force.
     *
     * @param key  the rule's kind and id
     * @param line the rule's text; empty to remove the rule
     * @throws CommandException if the rule is invalid or missing, or the rules in force change at the same time
     */
    static void change(ClientSettings settings, DaemonClient daemon, Output output, String key, String line)
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
        reportAccepted(settings, daemon, output, version);
    }

    /**
     * Prints the accepted version, after waiting until it is in force on all daemons if {@code --wait} is set.
     */
    private static void reportAccepted(ClientSettings settings, DaemonClient daemon, Output output, long version)
            throws CommandException {
        if (settings.isWaiting()) {
            awaitInForce(settings, daemon, output, version);
        }
        if (settings.isJson()) {
            output.printJson(new RulesAccepted(version));
        } else {
            output.print("accepted as version " + version + "\n");
        }
    }

    /**
     * Polls the status until every member has applied a version.
     *
     * @throws CommandException with {@link ExitCode#NOT_IN_FORCE} after {@code --wait-millis}
     */
    private static void awaitInForce(ClientSettings settings, DaemonClient daemon, Output output, long version)
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
                output.printProgress(progress);
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

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the version that a file was edited from: {@code --based-on} if it is set, else the file's version header.
     */
    private static long basedOn(ClientSettings settings, DaemonClient daemon, String text) throws CommandException {
        if (settings.basedOn().equals("current")) {
            return daemon.rules().version();
        }
        Matcher header = VERSION_HEADER.matcher(text);
        String version = settings.basedOn().isEmpty() && header.find() ? header.group(1) : settings.basedOn();
        try {
            return version.isEmpty() ? initialVersion(daemon) : Long.parseLong(version);
        } catch (NumberFormatException exception) {
            throw new CommandException(
                    ExitCode.USAGE, "--based-on '" + version + "' is not a version: see 'rules show'");
        }
    }

    /**
     * Returns the version of an empty deployment. A file without a version is accepted only there, so that it cannot
     * overwrite rules that its author has not seen.
     */
    private static long initialVersion(DaemonClient daemon) throws CommandException {
        long version = daemon.rules().version();
        if (version >= 0) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "the file does not name the version that it was edited from: edit a copy of 'rules show', or pass "
                            + "--based-on VERSION, or --based-on current to overwrite version " + version);
        }
        return version;
    }

    /**
     * Parses a rules file, and prefixes each line of an error with the file's path.
     */
    private static Configuration read(String path) throws CommandException {
        try {
            return Configuration.of(RulesParser.parse(readBytes(path)));
        } catch (InvalidRulesException exception) {
            throw new CommandException(ExitCode.USAGE, exception.getMessage().replaceAll("(?m)^", path + ":"));
        }
    }

    private static String readText(String path) throws CommandException {
        return new String(readBytes(path), StandardCharsets.UTF_8);
    }

    private static byte[] readBytes(String path) throws CommandException {
        try {
            return Files.readAllBytes(Path.of(path));
        } catch (IOException exception) {
            throw new CommandException(ExitCode.USAGE, "cannot read the rules file '" + path + "': " + exception);
        }
    }

    /**
     * Parses the rules in force, which may be written by a newer version of the daemon.
     */
    private static List<Rule> parse(String text) throws CommandException {
        try {
            return RulesParser.parse(text);
        } catch (InvalidRulesException exception) {
            throw new CommandException(
                    ExitCode.FAILED,
                    "the rules in force cannot be parsed by this version; use a newer client: " + exception);
        }
    }

    private static String format(List<Rule> rules) {
        StringBuilder text = new StringBuilder();
        rules.forEach(rule -> text.append(rule.text()).append('\n'));
        return text.toString();
    }
}
