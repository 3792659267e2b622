package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * The bounds of callers' traffic.
 */
final class TrafficSettings {

    /**
     * How long callers keep addresses.
     */
    @Option(name = "--address-cache-millis", usage = "how long callers may keep the addresses")
    private long addressCacheMillis = 10_000;

    /**
     * The longest body.
     */
    @Option(name = "--max-body-bytes", usage = "longest body that callers may send")
    private long maxBodyBytes = 4L * 1024 * 1024;

    /**
     * How long callers may take for a body.
     */
    @Option(name = "--body-millis", usage = "how long callers may take to send a body")
    private long bodyMillis = 10_000;

    /**
     * The most tokens to generate by default.
     */
    @Option(name = "--default-output-tokens", usage = "most tokens to generate when a request does not say")
    private int defaultOutputTokens = 256;

    /**
     * The most tokens that a request may ask for.
     */
    @Option(name = "--max-output-tokens", usage = "most tokens that a request may ask for")
    private int maxOutputTokens = 32_768;

    /**
     * The most requests that wait for a pool.
     */
    @Option(name = "--queue-max-requests", usage = "most requests that wait for a pool on this daemon")
    private int queueMaxRequests = 2_000;

    /**
     * The most requests of an account that wait for a pool.
     */
    @Option(name = "--queue-max-requests-per-account", usage = "most requests of one account that wait for a pool")
    private int queueMaxRequestsPerAccount = 1_000;

    /**
     * How long a graceful shutdown may take.
     */
    @Option(name = "--drain-millis", usage = "how long a graceful shutdown waits for requests to finish")
    private long drainMillis = 130_000;

    /**
     * Checks the settings against each other and their bounds.
     *
     * @throws InvalidSettingException if one cannot be used
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

    /**
     * Tells how long callers keep addresses.
     *
     * @return how long callers keep addresses
     */
    long addressCacheMillis() {
        return addressCacheMillis;
    }

    /**
     * Tells the longest body.
     *
     * @return the longest body
     */
    long maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Tells how long callers may take for a body.
     *
     * @return how long callers may take for a body
     */
    long bodyMillis() {
        return bodyMillis;
    }

    /**
     * Tells the most tokens to generate by default.
     *
     * @return the most tokens to generate by default
     */
    int defaultOutputTokens() {
        return defaultOutputTokens;
    }

    /**
     * Tells the most tokens that a request may ask for.
     *
     * @return the most tokens that a request may ask for
     */
    int maxOutputTokens() {
        return maxOutputTokens;
    }

    /**
     * Tells the most requests that wait for a pool.
     *
     * @return the most requests that wait for a pool
     */
    int queueMaxRequests() {
        return queueMaxRequests;
    }

    /**
     * Tells the most requests of an account that wait for a pool.
     *
     * @return the most requests of an account that wait for a pool
     */
    int queueMaxRequestsPerAccount() {
        return queueMaxRequestsPerAccount;
    }

    /**
     * Tells how long a graceful shutdown may take.
     *
     * @return how long a graceful shutdown may take
     */
    long drainMillis() {
        return drainMillis;
    }
}
