package org.ragwortpitch.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/**
 * Computes the tables of docs/CAPACITY.md from the recorded slopes and {@link TargetSize}. Argument: the slopes file.
 */
final class CapacityTables implements Measurement {

    private static final double MICROS_PER_SECOND = 1e6;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    @Override
    public void run(Arguments arguments, PrintStream table) throws IOException {
        Slopes slopes = Slopes.read(Path.of(arguments.word(0, "docs/slopes.csv")));
        control(slopes, table);
        log(slopes, table);
        traffic(slopes, table);
    }

    /**
     * Prints the cost of the control plane for each daemon, as one fleet and divided into cells.
     *
     * @throws IOException if a slope is missing
     */
    private static void control(Slopes slopes, PrintStream table) throws IOException {
        double peers = TargetSize.DAEMONS - 1;
        double cellPeers = TargetSize.CELL_DAEMONS - 1;
        double peerBytes = slopes.get("peer_bytes_per_second_per_peer");
        double peerCpu = slopes.get("idle_cpu_micros_per_second_per_peer");
        double appends = slopes.get("appends_per_second_per_daemon");
        double applyMicros = slopes.get("fold_micros_per_record");
        double recordBytes = slopes.get("renewal_bytes");
        double parse = slopes.get("account_rule_micros") * TargetSize.ACCOUNTS
                + slopes.get("endpoint_rule_micros") * TargetSize.ENDPOINTS;
        double ruleChanges = TargetSize.CHANGES_A_DAY / TargetSize.DAY_SECONDS;
        double records = TargetSize.DAEMONS * appends;
        double cellRecords = TargetSize.CELLS;
        table.println("| control, each daemon | budget | as built, all in one | in cells of 40 | slope |");
        table.println("|---|---|---|---|---|");
        row(table, "presence, KB/s", "3", peers * peerBytes / 1e3, cellPeers * peerBytes / 1e3, "daemons");
        row(
                table,
                "reading others' renewals, KB/s",
                "",
                records * recordBytes / 1e3,
                recordBytes / 1e3,
                "fold, daemons");
        row(table, "presence, % of a core", "", peers * peerCpu / 1e4, cellPeers * peerCpu / 1e4, "daemons");
        row(
                table,
                "fold of renewals, % of a core",
                "",
                records * applyMicros / 1e4,
                cellRecords * applyMicros / 1e4,
                "fold");
        row(
                table,
                "reading rules anew, % of a core",
                "",
                ruleChanges * parse / 1e4,
                ruleChanges * parse / TargetSize.CELLS / 1e4,
                "memory");
        double whole = (peers * peerCpu + records * applyMicros + ruleChanges * parse) / 1e4;
        double cell = (cellPeers * peerCpu + cellRecords * applyMicros + ruleChanges * parse / TargetSize.CELLS) / 1e4;
        row(table, "sum, % of a core", "2", whole, cell, "");
        memory(slopes, table);
        table.println();
    }

    /**
     * Prints the memory of the control state in each daemon.
     *
     * @throws IOException if a slope is missing
     */
    private static void memory(Slopes slopes, PrintStream table) throws IOException {
        double rulesMegabytes = (slopes.get("account_rule_bytes") * TargetSize.ACCOUNTS
                        + slopes.get("endpoint_rule_bytes") * TargetSize.ENDPOINTS)
                / BYTES_PER_MEGABYTE;
        double cellRulesMegabytes = rulesMegabytes / TargetSize.CELLS;
        row(table, "rules, MB", "", rulesMegabytes, cellRulesMegabytes, "memory");
        double counted = TargetSize.REQUESTS
                * TargetSize.COUNTED_REQUEST_RETENTION_SECONDS
                * slopes.get("counted_request_bytes");
        row(
                table,
                "counted requests, MB",
                "",
                counted / BYTES_PER_MEGABYTE,
                counted / TargetSize.CELLS / BYTES_PER_MEGABYTE,
                "memory");
        double prefixBlocks =
                TargetSize.ENDPOINTS * TargetSize.PREFIX_BLOCKS_PER_ENDPOINT * slopes.get("cached_piece_bytes");
        row(
                table,
                "cached pieces, MB",
                "",
                prefixBlocks / BYTES_PER_MEGABYTE,
                prefixBlocks / TargetSize.CELLS / BYTES_PER_MEGABYTE,
                "memory");
        double ownedQuotas =
                TargetSize.ACCOUNTS / TargetSize.DAEMONS * 2 * slopes.get("bucket_bytes") / BYTES_PER_MEGABYTE;
        row(table, "homes of accounts, MB", "", ownedQuotas, ownedQuotas, "memory");
        row(
                table,
                "sum, MB",
                "32",
                rulesMegabytes + (counted + prefixBlocks) / BYTES_PER_MEGABYTE + ownedQuotas,
                cellRulesMegabytes + (counted + prefixBlocks) / TargetSize.CELLS / BYTES_PER_MEGABYTE + ownedQuotas,
                "");
    }

    /**
     * Prints the load on the platform's log.
     *
     * @throws IOException if a slope is missing
     */
    private static void log(Slopes slopes, PrintStream table) throws IOException {
        double appends = slopes.get("appends_per_second_per_daemon");
        double usageBytes = slopes.get("usage_entry_bytes");
        double ruleChanges = TargetSize.CHANGES_A_DAY / TargetSize.DAY_SECONDS;
        double membershipRecords = 4 * TargetSize.REPLACED_A_DAY / TargetSize.DAY_SECONDS;
        table.println("| appends a second, in all | as built, all in one | in cells of 40 | slope |");
        table.println("|---|---|---|---|");
        double renewals = TargetSize.DAEMONS * appends;
        table.printf("| renewals | %s | %s (one a cell) | daemons |%n", show(renewals), show(TargetSize.CELLS));
        double batches = TargetSize.DAEMONS * 20;
        double cellBatches = TargetSize.CELLS * 4;
        table.printf("| usage batches | %s (20 a daemon) | %s (4 a cell) | |%n", show(batches), show(cellBatches));
        table.printf("| changes of rules | %s | %s | |%n", show(ruleChanges), show(ruleChanges));
        table.printf("| joins, departures, claims | %s | %s | |%n", show(membershipRecords), show(membershipRecords));
        table.printf(
                "| sum | %s | %s | |%n",
                show(renewals + batches + ruleChanges + membershipRecords),
                show(TargetSize.CELLS + cellBatches + ruleChanges + membershipRecords));
        double usage = TargetSize.REQUESTS * usageBytes / BYTES_PER_MEGABYTE;
        double each = TargetSize.REQUESTS * usageBytes / cellBatches / 1e3;
        table.printf("| usage, MB/s | %s | %s, in batches of %s KB | fold |%n", show(usage), show(usage), show(each));
        table.println();
    }

    /**
     * Prints the processor cost of request traffic in each daemon.
     *
     * @throws IOException if a slope is missing
     */
    private static void traffic(Slopes slopes, PrintStream table) throws IOException {
        double requests = TargetSize.REQUESTS / TargetSize.DAEMONS;
        double tokens = TargetSize.TOKENS / TargetSize.DAEMONS;
        double requestCores = requests * slopes.get("request_cpu_micros") / MICROS_PER_SECOND;
        double tokenCores = tokens * slopes.get("token_cpu_micros") / MICROS_PER_SECOND;
        table.println("| traffic, each daemon | a second | cores | slope |");
        table.println("|---|---|---|---|");
        table.printf("| requests | %s | %s | latency |%n", show(requests), show(requestCores));
        table.printf("| streamed tokens | %s | %s | latency |%n", show(tokens), show(tokenCores));
        table.printf("| sum | | %s | |%n", show(requestCores + tokenCores));
    }

    private static void row(PrintStream table, String name, String budget, double whole, double cell, String slope) {
        table.printf("| %s | %s | %s | %s | %s |%n", name, budget, show(whole), show(cell), slope);
    }

    /**
     * Formats a number with two decimals below 10, one below 100 and none from 100 on.
     */
    private static String show(double value) {
        if (value >= 100) {
            return String.format("%,.0f", value);
        }
        return value >= 10 ? String.format("%.1f", value) : String.format("%.2f", value);
    }
}
