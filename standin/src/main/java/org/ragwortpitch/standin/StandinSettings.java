package org.ragwortpitch.standin;

import org.kohsuke.args4j.Option;

/**
 * Command line settings of the stand-ins.
 */
public final class StandinSettings {

    private static final int PREFILL_CHUNK_TOKENS = 2_000;

    @Option(name = "--listen-host", usage = "address to bind")
    private String listenHost = "127.0.0.1";

    /**
     * The platform's port; engines and services take the following ones. With 0, every port is chosen by the system.
     */
    @Option(name = "--listen-port", usage = "port of the platform; engines and services follow; 0 chooses all")
    private int listenPort = 7000;

    @Option(name = "--engines", usage = "number of engines")
    private int engines = 2;

    @Option(name = "--services", usage = "number of plain services")
    private int services = 1;

    @Option(name = "--step-micros", usage = "time of an engine's step, in microseconds")
    private long stepMicros = 10_000;

    @Option(name = "--per-request-micros", usage = "time that each running request adds, in microseconds")
    private long perRequestMicros = 200;

    @Option(name = "--prefill-token-micros", usage = "time that each prompt token adds, in microseconds")
    private long prefillTokenMicros = 50;

    @Option(name = "--max-batch", usage = "most requests in an engine's batch")
    private int maxBatch = 64;

    @Option(name = "--cache-pieces", usage = "pieces of 1000 tokens in an engine's prefix cache")
    private int cacheBlocks = 200;

    @Option(name = "--log-records", usage = "records that the log keeps")
    private int logRecords = 1_000_000;

    @Option(name = "--seed", usage = "seed of the faults")
    private long seed = 1;

    /**
     * Sets the platform's port.
     *
     * @param port the port, or 0 to let the system choose all ports
     * @return these settings
     */
    public StandinSettings withListenPort(int port) {
        listenPort = port;
        return this;
    }

    /**
     * Sets the fixed time of an engine's step.
     *
     * @param micros the time, in microseconds
     * @return these settings
     */
    public StandinSettings withStepMicros(long micros) {
        stepMicros = micros;
        return this;
    }

    /**
     * Sets the number of engines.
     *
     * @return these settings
     */
    public StandinSettings withEngines(int count) {
        engines = count;
        return this;
    }

    /**
     * Sets how many records the log retains.
     *
     * @return these settings
     */
    public StandinSettings withLogRecords(int count) {
        logRecords = count;
        return this;
    }

    String listenHost() {
        return listenHost;
    }

    /**
     * Returns the port of a server, or 0 to let the system choose.
     *
     * @param index 0 for the platform, then the engines and the services
     */
    int port(int index) {
        return listenPort == 0 ? 0 : listenPort + index;
    }

    int engines() {
        return engines;
    }

    int services() {
        return services;
    }

    EngineSpeed speed() {
        return new EngineSpeed(
                stepMicros, perRequestMicros, prefillTokenMicros, maxBatch, PREFILL_CHUNK_TOKENS, cacheBlocks);
    }

    int logRecords() {
        return logRecords;
    }

    long seed() {
        return seed;
    }
}
