package org.ragwortpitch.server;

import java.util.List;
import java.util.Map;
import org.ragwortpitch.control.ControlSettings;
import org.ragwortpitch.control.MemberIdentity;
import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.gateway.GatewaySettings;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.queue.QueueBounds;
import org.ragwortpitch.settings.InvalidSettingException;
import org.ragwortpitch.settings.SettingsReader;

/**
 * The settings of a daemon. Each is read from a flag or, if the flag is absent, from the environment variable of the
 * same name: {@code --caller-port} is {@code RAGWORTPITCH_CALLER_PORT}.
 */
public final class DaemonSettings {

    private final NetworkSettings network = new NetworkSettings();

    private final LeaseSettings lease = new LeaseSettings();

    private final UsageSettings usage = new UsageSettings();

    private final TrafficSettings traffic = new TrafficSettings();

    private DaemonSettings() {}

    /**
     * Reads and validates settings.
     *
     * @param arguments the command-line flags, which take precedence
     * @param variables the environment variables
     * @return the settings
     * @throws InvalidSettingException if a setting is missing, unknown or invalid
     */
    public static DaemonSettings read(String[] arguments, Map<String, String> variables)
            throws InvalidSettingException {
        DaemonSettings settings = new DaemonSettings();
        SettingsReader.read(settings.groups(), arguments, variables);
        settings.network.check();
        settings.lease.check();
        settings.usage.check();
        settings.traffic.check();
        return settings;
    }

    /**
     * Returns the help text, with one line for each flag.
     *
     * @return the help text
     */
    public static String help() {
        return SettingsReader.help(new DaemonSettings().groups());
    }

    private List<Object> groups() {
        return List.of(network, lease, usage, traffic);
    }

    /**
     * Returns the settings of the control thread.
     *
     * @param boundCallerAddress the address that callers are given if {@code --caller-address} is not set
     * @param boundPeerAddress   the address that other daemons are given if {@code --peer-address} is not set
     * @throws InvalidSettingException if the lease settings contradict each other
     */
    ControlSettings control(String boundCallerAddress, String boundPeerAddress) throws InvalidSettingException {
        MemberIdentity identity = new MemberIdentity(
                instance(),
                failureDomain(),
                network.callerAddress().isEmpty() ? boundCallerAddress : network.callerAddress(),
                network.peerAddress().isEmpty() ? boundPeerAddress : network.peerAddress());
        DutyPlanner planner =
                new DutyPlanner(usage.usageWindowMillis(), usage.usageGraceMillis(), lease.checkpointRecords());
        return new ControlSettings(identity, lease.timing(), planner, lease.freshMillis(), lease.logOutageKeys());
    }

    GatewaySettings gateway() {
        return new GatewaySettings(
                lease.freshMillis(),
                traffic.maxBodyBytes(),
                traffic.bodyMillis(),
                traffic.defaultOutputTokens(),
                traffic.maxOutputTokens(),
                traffic.addressCacheMillis(),
                usage.usageWindowMillis(),
                usage.usageHoldMillis());
    }

    QueueBounds queueBounds() {
        return new QueueBounds(traffic.queueMaxRequests(), traffic.queueMaxRequestsPerAccount());
    }

    InstanceId instance() {
        return new InstanceId(network.instance());
    }

    FailureDomain failureDomain() {
        return new FailureDomain(network.failureDomain());
    }

    NetworkSettings network() {
        return network;
    }

    TrafficSettings traffic() {
        return traffic;
    }
}
