package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.control.OutageKeys;
import org.ragwortpitch.membership.InvalidLeaseTimingException;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Settings for the membership lease, and for how long API keys are accepted on rules that may be outdated.
 */
final class LeaseSettings {

    @Option(name = "--lease-ttl-millis", usage = "how long the membership lease lasts")
    private long leaseTtlMillis = 3_000;

    @Option(name = "--lease-renew-millis", usage = "how often the lease is renewed; a third of the lease at most")
    private long leaseRenewMillis = 750;

    @Option(name = "--clock-drift-permille", usage = "by how much monotonic clocks may differ in rate, in thousandths")
    private long clockDriftPermille = 30;

    @Option(name = "--lease-margin-millis", usage = "what observers wait beyond the lease")
    private long leaseMarginMillis = 300;

    @Option(name = "--fresh-millis", usage = "how old the rules may be when keys are trusted by them")
    private long freshMillis = 2_500;

    @Option(name = "--checkpoint-records", usage = "after how many records of the log the state is restated")
    private long checkpointRecords = 10_000;

    @Option(
            name = "--log-outage-keys",
            usage = "keyed routes while the log is not reached: REFUSE, AGREED (all members agree) or SERVE")
    private OutageKeys logOutageKeys = OutageKeys.AGREED;

    OutageKeys logOutageKeys() {
        return logOutageKeys;
    }

    /**
     * Validates the settings.
     *
     * @throws InvalidSettingException if a value is out of range or the lease settings contradict each other
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireBetween("--fresh-millis", freshMillis, 100, 60_000);
        SettingChecks.requireBetween("--checkpoint-records", checkpointRecords, 10, 100_000_000);
        timing();
    }

    long freshMillis() {
        return freshMillis;
    }

    long checkpointRecords() {
        return checkpointRecords;
    }

    /**
     * Returns the timing of the membership lease.
     *
     * @throws InvalidSettingException if the lease settings contradict each other
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
