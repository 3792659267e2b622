package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Settings that limit the traffic of callers.
 */
final class TrafficSettings {

    @Option(name = "--address-cache-millis", usage = "how long callers may keep the addresses")
    private long addressCacheMillis = 10_000;

    @Option(name = "--max-body-bytes", usage = "longest body that callers may send")
    private long maxBodyBytes = 4L * 1024 * 1024;

    @Option(name = "--body-millis", usage = "how long callers may take to send a body")
    private long bodyMillis = 10_000;

    @Option(name = "--default-output-tokens", usage = "most tokens to generate when a request does not say")
    private int defaultOutputTokens = 256;

    @Option(name = "--max-output-tokens", usage = "most tokens that a request may ask for")
    private int maxOutputTokens = 32_768;

    @Option(name = "--queue-max-requests", usage = "most requests that wait for a pool on this daemon")
    private int queueMaxRequests = 2_000;

    @Option(name = "--queue-max-requests-per-account", usage = "most requests of one account that wait for a pool")
    private int queueMaxRequestsPerAccount = 1_000;

    @Option(name = "--drain-millis", usage = "how long a graceful shutdown waits for requests to finish")
    private long drainMillis = 130_000;

    /**
     * Validates the settings.
     *
     * @throws InvalidSettingException if a value is out of range or the default output exceeds the maximum
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireBetween("--address-cache-millis", addressCacheMillis, 0, 3_600_000);
        SettingChecks.requireBetween("--max-body-bytes", maxBodyBytes, 1_024, 1_073_741_824);
        SettingChecks.requireBetween("--body-millis", bodyMillis, 10, 600_000);
        SettingChecks.requireBetween("--max-output-tokens", maxOutputTokens, 1, 10_000_000);
        SettingChecks.requireBetween("--queue-max-requests", queueMaxRequests, 1, 1_000_000);
        SettingChecks.requireBetween("--queue-max-requests-per-account", queueMaxRequestsPerAccount, 1, 1_000_000);
        SettingChecks.requireBetween("--drain-millis", drainMillis, 0, 3_600_000);
        SettingChecks.requireBetween("--default-output-tokens", defaultOutputTokens, 1, maxOutputTokens);
    }

    long addressCacheMillis() {
        return addressCacheMillis;
    }

    long maxBodyBytes() {
        return maxBodyBytes;
    }

    long bodyMillis() {
        return bodyMillis;
    }

    int defaultOutputTokens() {
        return defaultOutputTokens;
    }

    int maxOutputTokens() {
        return maxOutputTokens;
    }

    int queueMaxRequests() {
        return queueMaxRequests;
    }

    int queueMaxRequestsPerAccount() {
        return queueMaxRequestsPerAccount;
    }

    long drainMillis() {
        return drainMillis;
    }
}
