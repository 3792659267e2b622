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
 * Commands that show the state of a deployment.
 */
final class StatusCommands {

    /**
     * Millionths in one currency unit.
     */
    private static final double MICROS = 1_000_000.0;

    private StatusCommands() {}

    /**
     * Prints the instances, duties, endpoints and client accounts.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    static void status(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        StatusReport report = daemon.status();
        if (settings.isJson()) {
            output.printJson(report);
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
     * Prints the endpoints.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    static void endpoints(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        List<EndpointLine> endpoints = daemon.status().endpoints();
        if (settings.isJson()) {
            output.printJson(endpoints);
        } else {
            output.print(endpointTable(endpoints).toString());
        }
    }

    /**
     * Prints the lines of all usage windows, of one client account if it is named.
     *
     * @throws CommandException if the daemon refuses the call or does not answer
     */
    static void usage(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        UsageState state = daemon.usage();
        if (settings.isJson()) {
            output.printJson(state);
            return;
        }
        String account = settings.argument(1);
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
     * Adds a line of usage if it is of the given account; an empty account matches all.
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
     * Formats milliseconds since the epoch as an ISO-8601 instant.
     */
    private static String time(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).toString();
    }

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

    private static Table accountTable(StatusReport report) {
        Table table = new Table("ACCOUNT", "WEIGHT", "TOKENS/S", "BURST", "HOMES", "ADMITTED", "OVER-RATE");
        for (AccountLine line : report.accounts()) {
            List<String> owners = line.homes().stream()
                    .map(owner -> instanceOf(report, owner))
                    .toList();
            table.row(
                    line.account(),
                    line.weight(),
                    line.tokensPerSecond(),
                    line.burstTokens(),
                    String.join(",", owners),
                    line.admitted(),
                    line.overRate());
        }
        return table;
    }

    /**
     * Returns the instance that runs an incarnation, or the incarnation itself if it is no longer a member.
     */
    private static String instanceOf(StatusReport report, String incarnation) {
        return report.members().stream()
                .filter(member -> member.incarnation().value().equals(incarnation))
                .map(member -> member.instance().value())
                .findFirst()
                .orElse(incarnation);
    }
}
