package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Settings for the identity of a daemon, the addresses that it listens on, the platform, and secrets.
 */
final class NetworkSettings {

    @Option(name = "--instance", required = true, usage = "name of this daemon's instance")
    private String instance = "";

    @Option(name = "--failure-domain", required = true, usage = "failure domain of the instance")
    private String failureDomain = "";

    @Option(name = "--platform-uri", required = true, usage = "where the platform is reached, such as http://host:7000")
    private String platformUri = "";

    @Option(name = "--operator-token", required = true, usage = "token that operators show, of 16 characters or more")
    private String operatorToken = "";

    @Option(name = "--peer-secret", required = true, usage = "secret that daemons share, of 16 characters or more")
    private String peerSecret = "";

    @Option(name = "--listen-host", usage = "address to bind")
    private String listenHost = "127.0.0.1";

    @Option(name = "--caller-port", usage = "port for callers; 0 chooses one")
    private int callerPort = 8080;

    @Option(name = "--peer-port", usage = "port for other daemons; 0 chooses one")
    private int peerPort = 8081;

    @Option(name = "--operator-port", usage = "port for operators, health and metrics; 0 chooses one")
    private int operatorPort = 8082;

    @Option(name = "--caller-address", usage = "host and port that callers are told; the bound one by default")
    private String callerAddress = "";

    @Option(name = "--peer-address", usage = "host and port that other daemons are told; the bound one by default")
    private String peerAddress = "";

    @Option(name = "--platform-timeout-millis", usage = "how long a call of the platform may take")
    private long platformTimeoutMillis = 2_000;

    /**
     * Validates the settings.
     *
     * @throws InvalidSettingException if a value is malformed or out of range
     */
    void check() throws InvalidSettingException {
        SettingChecks.requireName("--instance", instance);
        SettingChecks.requireName("--failure-domain", failureDomain);
        SettingChecks.requireSecret("--operator-token", operatorToken);
        SettingChecks.requireSecret("--peer-secret", peerSecret);
        SettingChecks.requireUri("--platform-uri", platformUri);
        SettingChecks.requireBetween("--caller-port", callerPort, 0, 65_535);
        SettingChecks.requireBetween("--peer-port", peerPort, 0, 65_535);
        SettingChecks.requireBetween("--operator-port", operatorPort, 0, 65_535);
        SettingChecks.requireBetween("--platform-timeout-millis", platformTimeoutMillis, 10, 60_000);
    }

    String instance() {
        return instance;
    }

    String failureDomain() {
        return failureDomain;
    }

    String platformUri() {
        return platformUri;
    }

    String operatorToken() {
        return operatorToken;
    }

    String peerSecret() {
        return peerSecret;
    }

    String listenHost() {
        return listenHost;
    }

    int callerPort() {
        return callerPort;
    }

    int peerPort() {
        return peerPort;
    }

    int operatorPort() {
        return operatorPort;
    }

    String callerAddress() {
        return callerAddress;
    }

    String peerAddress() {
        return peerAddress;
    }

    long platformTimeoutMillis() {
        return platformTimeoutMillis;
    }
}
