package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.control.OutageKeys;
import org.ragwortpitch.membership.InvalidLeaseTimingException;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * The times of membership and of trust in the rules.
 */
final class LeaseSettings {

    /**
     * How long the membership lease lasts.
     */
    @Option(name = "--lease-ttl-millis", usage = "how long the membership lease lasts")
    private long leaseTtlMillis = 3_000;

    /**
     * How often the lease is renewed.
     */
    @Option(name = "--lease-renew-millis", usage = "how often the lease is renewed; a third of the lease at most")
    private long leaseRenewMillis = 750;

    /**
     * The bound on clock drift.
     */
    @Option(name = "--clock-drift-permille", usage = "by how much monotonic clocks may differ in rate, in thousandths")
    private long clockDriftPermille = 30;

    /**
     * What observers wait beyond the lease.
     */
    @Option(name = "--lease-margin-millis", usage = "what observers wait beyond the lease")
    private long leaseMarginMillis = 300;

    /**
     * How old the rules may be when keys are trusted by them.
     */
    @Option(name = "--fresh-millis", usage = "how old the rules may be when keys are trusted by them")
    private long freshMillis = 2_500;

    /**
     * After how many records the state is restated.
     */
    @Option(name = "--checkpoint-records", usage = "after how many records of the log the state is restated")
    private long checkpointRecords = 10_000;

    /**
     * What becomes of keyed routes while the log is not reached.
     */
    @Option(
            name = "--log-outage-keys",
            usage = "keyed routes while the log is not reached: REFUSE, AGREED (all members agree) or SERVE")
    private OutageKeys logOutageKeys = OutageKeys.AGREED;

    /**
     * Tells what becomes of keyed routes while the log is not reached.
     *
     * @return the choice
     */
    OutageKeys logOutageKeys() {
        return logOutageKeys;
    }

    /**
     * Checks the settings against each other and their bounds.
     *
     * @throws InvalidSettingException if one cannot be used
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireBetween("--fresh-millis", freshMillis, 100, 60_000);
        SettingChecks.requireBetween("--checkpoint-records", checkpointRecords, 10, 100_000_000);
        timing();
    }

    /**
     * Tells how old the rules may be when keys are trusted by them.
     *
     * @return how old the rules may be when keys are trusted by them
     */
    long freshMillis() {
        return freshMillis;
    }

    /**
     * Tells after how many records the state is restated.
     *
     * @return after how many records the state is restated
     */
    long checkpointRecords() {
        return checkpointRecords;
    }

    /**
     * Tells the times of the lease.
     *
     * @return the times
     * @throws InvalidSettingException if they do not fit together
     */
    LeaseTiming timing() throws InvalidSettingException {
        try {
            return LeaseTiming.of(leaseTtlMillis, leaseRenewMillis, clockDriftPermille, leaseMarginMillis);
        } catch (InvalidLeaseTimingException exception) {
            throw new InvalidSettingException(
                    "--lease-ttl-millis", Long.toString(leaseTtlMillis), exception.getMessage());
        }
    }
}
