package org.ragwortpitch.client;

import java.time.Instant;
import java.util.List;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.operator.AccountLine;
import org.ragwortpitch.operator.EndpointLine;
import org.ragwortpitch.operator.StatusReport;
import org.ragwortpitch.usage.FrozenWindow;
import org.ragwortpitch.usage.UsageLine;
import org.ragwortpitch.usage.UsageState;

/**
 * The commands that show state.
 */
final class StatusCommands {

    /**
     * What an hour's cost is divided by to show it in currency units.
     */
    private static final double MICROS = 1_000_000.0;

    /**
     * Not to be made.
     */
    private StatusCommands() {}

    /**
     * Shows the whole state.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the daemon does not answer as wanted
     */
    static void status(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        StatusReport report = daemon.status();
        if (settings.isJson()) {
            output.json(report);
            return;
        }
        output.print("rules version " + report.rulesVersion() + ", log applied to " + report.appliedOffset()
                + ", in touch with the log " + report.contactMillis() + " ms ago (as " + report.instance()
                + " sees it)\n\n");
        Table members = new Table("INSTANCE", "FAILURE-DOMAIN", "ADDRESS", "STATE", "APPLIED", "INCARNATION");
        for (Member member : report.members()) {
            members.row(
                    member.instance(),
                    member.failureDomain(),
                    member.callerAddress(),
                    member.leaving() ? "leaving" : "live",
                    member.acknowledgedOffset(),
                    member.incarnation());
        }
        output.print(members + "\n");
        Table duties = new Table("DUTY", "TERM", "HOLDER");
        for (DutyTerm duty : report.duties()) {
            duties.row(
                    duty.duty(), duty.term(), instanceOf(report, duty.holder().value()));
        }
        output.print(duties + "\n");
        output.print(endpointTable(report.endpoints()) + "\n");
        output.print(accountTable(report).toString());
    }

    /**
     * Shows the endpoints.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the daemon does not answer as wanted
     */
    static void endpoints(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        List<EndpointLine> endpoints = daemon.status().endpoints();
        if (settings.isJson()) {
            output.json(endpoints);
        } else {
            output.print(endpointTable(endpoints).toString());
        }
    }

    /**
     * Shows the usage windows, or what makes up one account's figures.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the daemon does not answer as wanted
     */
    static void usage(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        UsageState state = daemon.usage();
        if (settings.isJson()) {
            output.json(state);
            return;
        }
        String account = settings.word(1);
        Table table = new Table(
                "WINDOW", "STATE", "FINISHED-IN", "ACCOUNT", "MODEL", "REQUESTS", "PROMPT", "CACHED", "OUTPUT");
        for (FrozenWindow window : state.frozen()) {
            String shown = window.reported() ? "reported" : "closed";
            window.lines().forEach(line -> addUsage(table, account, time(window.window()), shown, line));
        }
        state.openLines().forEach(line -> addUsage(table, account, "-", "open", line));
        output.print(table.toString());
    }

    /**
     * Adds a line of usage.
     *
     * @param table   the table
     * @param account the account to show; empty for all
     * @param window  the window
     * @param state   the window's state
     * @param line    the line
     */
    private static void addUsage(Table table, String account, String window, String state, UsageLine line) {
        if (account.isEmpty() || line.key().account().value().equals(account)) {
            table.row(
                    window,
                    state,
                    time(line.key().window()),
                    line.key().account(),
                    line.key().model(),
                    line.requests(),
                    line.promptTokens(),
                    line.cachedTokens(),
                    line.outputTokens());
        }
    }

    /**
     * Writes a moment.
     *
     * @param epochMillis the moment, in milliseconds since the epoch
     * @return the text
     */
    private static String time(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).toString();
    }

    /**
     * Makes the table of endpoints.
     *
     * @param endpoints the endpoints
     * @return the table
     */
    private static Table endpointTable(List<EndpointLine> endpoints) {
        Table table =
                new Table("ENDPOINT", "POOL", "FAILURE-DOMAIN", "ROLE", "SUPPLY", "COST/H", "OWN", "RUNNING", "QUEUED");
        for (EndpointLine line : endpoints) {
            table.row(
                    line.endpoint(),
                    line.pool(),
                    line.failureDomain(),
                    line.role(),
                    line.supply(),
                    line.costMicrosPerHour() / MICROS,
                    line.ownRequests(),
                    line.running() < 0 ? "-" : line.running(),
                    line.queued() < 0 ? "-" : line.queued());
        }
        return table;
    }

    /**
     * Makes the table of accounts.
     *
     * @param report the report
     * @return the table
     */
    private static Table accountTable(StatusReport report) {
        Table table = new Table("ACCOUNT", "WEIGHT", "TOKENS/S", "BURST", "HOMES", "ADMITTED", "OVER-RATE");
        for (AccountLine line : report.accounts()) {
            List<String> homes =
                    line.homes().stream().map(home -> instanceOf(report, home)).toList();
            table.row(
                    line.account(),
                    line.weight(),
                    line.tokensPerSecond(),
                    line.burstTokens(),
                    String.join(",", homes),
                    line.admitted(),
                    line.overRate());
        }
        return table;
    }

    /**
     * Finds the instance of an incarnation.
     *
     * @param report      the report
     * @param incarnation the incarnation
     * @return the instance, or the incarnation if it is no member
     */
    private static String instanceOf(StatusReport report, String incarnation) {
        return report.members().stream()
                .filter(member -> member.incarnation().value().equals(incarnation))
                .map(member -> member.instance().value())
                .findFirst()
                .orElse(incarnation);
    }
}
