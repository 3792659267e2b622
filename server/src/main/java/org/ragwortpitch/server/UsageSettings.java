package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Settings for usage windows, in milliseconds.
 */
final class UsageSettings {

    @Option(name = "--usage-window-millis", usage = "length of a usage window; the same on all daemons")
    private long usageWindowMillis = 60_000;

    @Option(name = "--usage-grace-millis", usage = "how long after its end a usage window is closed")
    private long usageGraceMillis = 5_000;

    @Option(name = "--usage-hold-millis", usage = "how long the end of an answer waits for its usage to be durable")
    private long usageHoldMillis = 5_000;

    /**
     * Validates the settings.
     *
     * @throws InvalidSettingException if a value is out of range
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireBetween("--usage-window-millis", usageWindowMillis, 100, 86_400_000);
        SettingChecks.requireBetween("--usage-grace-millis", usageGraceMillis, 0, 3_600_000);
        SettingChecks.requireBetween("--usage-hold-millis", usageHoldMillis, 1, 600_000);
    }

    long usageWindowMillis() {
        return usageWindowMillis;
    }

    long usageGraceMillis() {
        return usageGraceMillis;
    }

    long usageHoldMillis() {
        return usageHoldMillis;
    }
}
