package org.ragwortpitch.server;

import org.kohsuke.args4j.Option;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Where a daemon runs, what it listens on and whom it talks to.
 */
final class NetworkSettings {

    /**
     * This daemon's instance.
     */
    @Option(name = "--instance", required = true, usage = "name of this daemon's instance")
    private String instance = "";

    /**
     * The instance's failure domain.
     */
    @Option(name = "--failure-domain", required = true, usage = "failure domain of the instance")
    private String failureDomain = "";

    /**
     * Where the platform is reached.
     */
    @Option(name = "--platform-uri", required = true, usage = "where the platform is reached, such as http://host:7000")
    private String platformUri = "";

    /**
     * The operators' token.
     */
    @Option(name = "--operator-token", required = true, usage = "token that operators show, of 16 characters or more")
    private String operatorToken = "";

    /**
     * The secret that daemons share.
     */
    @Option(name = "--peer-secret", required = true, usage = "secret that daemons share, of 16 characters or more")
    private String peerSecret = "";

    /**
     * The address to bind.
     */
    @Option(name = "--listen-host", usage = "address to bind")
    private String listenHost = "127.0.0.1";

    /**
     * The port for callers.
     */
    @Option(name = "--caller-port", usage = "port for callers; 0 chooses one")
    private int callerPort = 8080;

    /**
     * The port for other daemons.
     */
    @Option(name = "--peer-port", usage = "port for other daemons; 0 chooses one")
    private int peerPort = 8081;

    /**
     * The port for operators.
     */
    @Option(name = "--operator-port", usage = "port for operators, health and metrics; 0 chooses one")
    private int operatorPort = 8082;

    /**
     * Where callers reach this daemon.
     */
    @Option(name = "--caller-address", usage = "host and port that callers are told; the bound one by default")
    private String callerAddress = "";

    /**
     * Where other daemons reach this daemon.
     */
    @Option(name = "--peer-address", usage = "host and port that other daemons are told; the bound one by default")
    private String peerAddress = "";

    /**
     * How long a call of the platform may take.
     */
    @Option(name = "--platform-timeout-millis", usage = "how long a call of the platform may take")
    private long platformTimeoutMillis = 2_000;

    /**
     * Checks the settings against each other and their bounds.
     *
     * @throws InvalidSettingException if one cannot be used
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

    /**
     * Tells this daemon's instance.
     *
     * @return this daemon's instance
     */
    String instance() {
        return instance;
    }

    /**
     * Tells the instance's failure domain.
     *
     * @return the instance's failure domain
     */
    String failureDomain() {
        return failureDomain;
    }

    /**
     * Tells where the platform is reached.
     *
     * @return where the platform is reached
     */
    String platformUri() {
        return platformUri;
    }

    /**
     * Tells the operators' token.
     *
     * @return the operators' token
     */
    String operatorToken() {
        return operatorToken;
    }

    /**
     * Tells the secret that daemons share.
     *
     * @return the secret that daemons share
     */
    String peerSecret() {
        return peerSecret;
    }

    /**
     * Tells the address to bind.
     *
     * @return the address to bind
     */
    String listenHost() {
        return listenHost;
    }

    /**
     * Tells the port for callers.
     *
     * @return the port for callers
     */
    int callerPort() {
        return callerPort;
    }

    /**
     * Tells the port for other daemons.
     *
     * @return the port for other daemons
     */
    int peerPort() {
        return peerPort;
    }

    /**
     * Tells the port for operators.
     *
     * @return the port for operators
     */
    int operatorPort() {
        return operatorPort;
    }

    /**
     * Tells where callers reach this daemon.
     *
     * @return where callers reach this daemon
     */
    String callerAddress() {
        return callerAddress;
    }

    /**
     * Tells where other daemons reach this daemon.
     *
     * @return where other daemons reach this daemon
     */
    String peerAddress() {
        return peerAddress;
    }

    /**
     * Tells how long a call of the platform may take.
     *
     * @return how long a call of the platform may take
     */
    long platformTimeoutMillis() {
        return platformTimeoutMillis;
    }
}
