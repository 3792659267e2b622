package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * The times of usage windows.
 */
final class UsageSettings {

    /**
     * The length of a usage window.
     */
    @Option(name = "--usage-window-millis", usage = "length of a usage window; the same on all daemons")
    private long usageWindowMillis = 60_000;

    /**
     * How long after its end a usage window is closed.
     */
    @Option(name = "--usage-grace-millis", usage = "how long after its end a usage window is closed")
    private long usageGraceMillis = 5_000;

    /**
     * How long a finish waits for its usage.
     */
    @Option(name = "--usage-hold-millis", usage = "how long the end of an answer waits for its usage to be durable")
    private long usageHoldMillis = 5_000;

    /**
     * Checks the settings against each other and their bounds.
     *
     * @throws InvalidSettingException if one cannot be used
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireBetween("--usage-window-millis", usageWindowMillis, 100, 86_400_000);
        SettingChecks.requireBetween("--usage-grace-millis", usageGraceMillis, 0, 3_600_000);
        SettingChecks.requireBetween("--usage-hold-millis", usageHoldMillis, 1, 600_000);
    }

    /**
     * Tells the length of a usage window.
     *
     * @return the length of a usage window
     */
    long usageWindowMillis() {
        return usageWindowMillis;
    }

    /**
     * Tells how long after its end a usage window is closed.
     *
     * @return how long after its end a usage window is closed
     */
    long usageGraceMillis() {
        return usageGraceMillis;
    }

    /**
     * Tells how long a finish waits for its usage.
     *
     * @return how long a finish waits for its usage
     */
    long usageHoldMillis() {
        return usageHoldMillis;
    }
}
