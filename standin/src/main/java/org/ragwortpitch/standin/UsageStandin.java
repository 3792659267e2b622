package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.platform.UsageReport;

/**
 * Stands in for the platform's usage reports, and notes windows that were reported with different figures.
 */
final class UsageStandin {

    /**
     * The first report of each window.
     */
    private final Map<Long, UsageReport> reports = new TreeMap<>();

    /**
     * Reports that differ from the first one of their window.
     */
    private final List<UsageReport> conflicts = new ArrayList<>();

    /**
     * Takes a report.
     *
     * @param report the report
     */
    synchronized void report(UsageReport report) {
        UsageReport first = reports.putIfAbsent(report.window(), report);
        if (first != null && !first.lines().equals(report.lines())) {
            conflicts.add(report);
        }
    }

    /**
     * Tells the reports.
     *
     * @return the first report of each window
     */
    synchronized List<UsageReport> reports() {
        return List.copyOf(reports.values());
    }

    /**
     * Tells the conflicts.
     *
     * @return the reports that differ from the first one of their window
     */
    synchronized List<UsageReport> conflicts() {
        return List.copyOf(conflicts);
    }
}
