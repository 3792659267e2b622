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
 * The settings of a daemon. Each is a flag, or an environment variable of the same name: {@code --caller-port} is
 * {@code RAGWORTPITCH_CALLER_PORT}.
 */
public final class DaemonSettings {

    /**
     * Where the daemon runs, what it listens on and whom it talks to.
     */
    private final NetworkSettings network = new NetworkSettings();

    /**
     * The times of membership and of trust in the rules.
     */
    private final LeaseSettings lease = new LeaseSettings();

    /**
     * The times of usage windows.
     */
    private final UsageSettings usage = new UsageSettings();

    /**
     * The bounds of callers' traffic.
     */
    private final TrafficSettings traffic = new TrafficSettings();

    /**
     * Makes settings that have their defaults.
     */
    private DaemonSettings() {}

    /**
     * Reads and checks settings.
     *
     * @param arguments the flags
     * @param variables the environment variables
     * @return the settings
     * @throws InvalidSettingException if one cannot be used
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
     * Describes all settings.
     *
     * @return a line for each flag
     */
    public static String help() {
        return SettingsReader.help(new DaemonSettings().groups());
    }

    /**
     * Lists the groups of settings.
     *
     * @return the beans
     */
    private List<Object> groups() {
        return List.of(network, lease, usage, traffic);
    }

    /**
     * Tells the settings of the control thread.
     *
     * @param boundCallerAddress where callers reach this daemon unless a flag says otherwise
     * @param boundPeerAddress   where other daemons reach this daemon unless a flag says otherwise
     * @return the settings
     * @throws InvalidSettingException if the times of the lease do not fit together
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

    /**
     * Tells the settings of the gateway.
     *
     * @return the settings
     */
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

    /**
     * Tells the bounds of queues.
     *
     * @return the bounds
     */
    QueueBounds queueBounds() {
        return new QueueBounds(traffic.queueMaxRequests(), traffic.queueMaxRequestsPerAccount());
    }

    /**
     * Tells this daemon's instance.
     *
     * @return the instance
     */
    InstanceId instance() {
        return new InstanceId(network.instance());
    }

    /**
     * Tells the instance's failure domain.
     *
     * @return the failure domain
     */
    FailureDomain failureDomain() {
        return new FailureDomain(network.failureDomain());
    }

    /**
     * Tells where the daemon runs, what it listens on and whom it talks to.
     *
     * @return the settings
     */
    NetworkSettings network() {
        return network;
    }

    /**
     * Tells the bounds of callers' traffic.
     *
     * @return the settings
     */
    TrafficSettings traffic() {
        return traffic;
    }
}
