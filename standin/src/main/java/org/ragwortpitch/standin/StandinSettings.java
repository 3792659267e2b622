package org.ragwortpitch.standin;

import org.kohsuke.args4j.Option;

/**
 * The settings of a stand-in, as flags.
 */
public final class StandinSettings {

    /**
     * The address to bind.
     */
    @Option(name = "--listen-host", usage = "address to bind")
    private String listenHost = "127.0.0.1";

    /**
     * The port of the platform; engines and services take the following ones. With 0, all ports are chosen.
     */
    @Option(name = "--listen-port", usage = "port of the platform; engines and services follow; 0 chooses all")
    private int listenPort = 7000;

    /**
     * How many engines there are.
     */
    @Option(name = "--engines", usage = "number of engines")
    private int engines = 2;

    /**
     * How many plain services there are.
     */
    @Option(name = "--services", usage = "number of plain services")
    private int services = 1;

    /**
     * What a step of an engine takes in any case.
     */
    @Option(name = "--step-micros", usage = "time of an engine's step, in microseconds")
    private long stepMicros = 10_000;

    /**
     * What each running request adds to a step.
     */
    @Option(name = "--per-request-micros", usage = "time that each running request adds, in microseconds")
    private long perRequestMicros = 200;

    /**
     * What each prompt token adds to a step.
     */
    @Option(name = "--prefill-token-micros", usage = "time that each prompt token adds, in microseconds")
    private long prefillTokenMicros = 50;

    /**
     * The most requests that an engine runs at once.
     */
    @Option(name = "--max-batch", usage = "most requests in an engine's batch")
    private int maxBatch = 64;

    /**
     * The most pieces in an engine's prefix cache.
     */
    @Option(name = "--cache-pieces", usage = "pieces of 1000 tokens in an engine's prefix cache")
    private int cachePieces = 200;

    /**
     * The most records in the log.
     */
    @Option(name = "--log-records", usage = "records that the log keeps")
    private int logRecords = 1_000_000;

    /**
     * The seed of faults.
     */
    @Option(name = "--seed", usage = "seed of the faults")
    private long seed = 1;

    /**
     * Sets the platform's port.
     *
     * @param port the port, or 0 to choose all ports
     * @return these settings
     */
    public StandinSettings withListenPort(int port) {
        listenPort = port;
        return this;
    }

    /**
     * Sets what a step of an engine takes in any case.
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
     * @param count the number
     * @return these settings
     */
    public StandinSettings withEngines(int count) {
        engines = count;
        return this;
    }

    /**
     * Sets how many records the log keeps.
     *
     * @param count the number
     * @return these settings
     */
    public StandinSettings withLogRecords(int count) {
        logRecords = count;
        return this;
    }

    /**
     * Tells the address to bind.
     *
     * @return the address
     */
    String listenHost() {
        return listenHost;
    }

    /**
     * Tells the port of a part.
     *
     * @param part the part: 0 for the platform, then the engines and the services
     * @return its port, or 0 for any
     */
    int port(int part) {
        return listenPort == 0 ? 0 : listenPort + part;
    }

    /**
     * Tells the number of engines.
     *
     * @return the number
     */
    int engines() {
        return engines;
    }

    /**
     * Tells the number of services.
     *
     * @return the number
     */
    int services() {
        return services;
    }

    /**
     * Tells how fast engines work.
     *
     * @return the speed
     */
    EngineSpeed speed() {
        return new EngineSpeed(stepMicros, perRequestMicros, prefillTokenMicros, maxBatch, 2_000, cachePieces);
    }

    /**
     * Tells how many records the log keeps.
     *
     * @return the number
     */
    int logRecords() {
        return logRecords;
    }

    /**
     * Tells the seed of faults.
     *
     * @return the seed
     */
    long seed() {
        return seed;
    }
}
