package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.platform.UsageReport;

/**
 * In-memory stand-in for the platform's usage reports. Detects windows that were reported again with other figures.
 */
final class UsageStandin {

    /**
     * The first report of each window.
     */
    private final Map<Long, UsageReport> reports = new TreeMap<>();

    private final List<UsageReport> conflicts = new ArrayList<>();

    /**
     * Stores the first report of a window. A repeated report is ignored if its lines are the same, else it is a
     * conflict.
     */
    synchronized void report(UsageReport report) {
        UsageReport first = reports.putIfAbsent(report.window(), report);
        if (first != null && !first.lines().equals(report.lines())) {
            conflicts.add(report);
        }
    }

    /**
     * Returns the first report of each window.
     */
    synchronized List<UsageReport> reports() {
        return List.copyOf(reports.values());
    }

    /**
     * Returns the reports that differ from the first one of their window.
     */
    synchronized List<UsageReport> conflicts() {
        return List.copyOf(conflicts);
    }
}
