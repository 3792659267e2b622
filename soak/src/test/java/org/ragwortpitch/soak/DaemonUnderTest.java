package org.ragwortpitch.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.standin.FaultProxy;

/**
 * A daemon that runs in a separate process with its own loopback address and reaches the store through a fault proxy.
 */
final class DaemonUnderTest implements AutoCloseable {

    private static final int FRONT_PORT = 8221;

    /** Time within which a daemon has to stop, in milliseconds; written into its settings as {@code GraceS}. */
    static final long GRACE_MILLIS = 8_000;

    private final String name;
    private final String ip;
    private final FaultProxy store;
    private final Path settings;
    private final Path log;
    private final String mainClass;
    private final List<String> classPaths;
    private int starts;
    private volatile Process process;
    private volatile boolean exitExpected;

    /** Creates a daemon of the present version. */
    DaemonUnderTest(Path directory, String name, String ip, String domain, FaultProxy store, String mainClass)
            throws IOException {
        this(directory, name, ip, domain, store, mainClass, List.of(System.getProperty("java.class.path")));
    }

    /**
     * Creates a daemon of several versions, which take turns from start to start.
     *
     * @param classPaths of each version
     */
    DaemonUnderTest(
            Path directory,
            String name,
            String ip,
            String domain,
            FaultProxy store,
            String mainClass,
            List<String> classPaths)
            throws IOException {
        this.classPaths = classPaths;
        this.name = name;
        this.ip = ip;
        this.store = store;
        this.mainClass = mainClass;
        this.settings = directory.resolve(name + ".yaml");
        this.log = directory.resolve(name + ".log");
        Files.writeString(settings, settings(domain));
    }

    private String settings(String domain) {
        return String.join(
                "\n",
                "Node: " + name,
                "Zone: " + domain,
                "Ip: " + ip,
                "Bootstrap: true",
                "HeartbeatMs: 1000",
                "Listen: {Front: \"" + ip + ":" + FRONT_PORT + "\", Ready: \"" + ip + ":8224\", Directory: \"" + ip
                        + ":8220\"}",
                "InternalPorts: [7600, 7615]",
                "Platform: {Address: \"127.0.0.1:" + store.port() + "\"}",
                "Cloud: {Address: \"127.0.0.1:" + store.port() + "\"}",
                "Bounds: {ContactMs: 3000, DrainMs: 2000, GraceS: " + GRACE_MILLIS / 1_000 + ", RetryBudgetRatio: 0.2,"
                        + " BudgetSlack: 54, BudgetWindowS: 10, RequireFencing: true, LeaseMs: 3000, UsageWindowS: 2,"
                        + " UsageLateS: 6, ttl_max_s: 5}",
                "");
    }

    /** Starts the process, unless the end of an overlapping fault has already started it. */
    synchronized void start() {
        if (process != null && process.isAlive()) {
            return;
        }
        try {
            exitExpected = false;
            ProcessBuilder builder = new ProcessBuilder(List.of(
                    System.getProperty("java.home") + "/bin/java",
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    classPaths.get(starts++ % classPaths.size()),
                    mainClass));
            builder.environment().put("RAGWORTPITCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        } catch (IOException exception) {
            throw new IllegalStateException("cannot start the daemon", exception);
        }
    }

    /** Kills the process, even if it is paused, and waits until it has exited. */
    void kill() {
        exitExpected = true;
        process.destroyForcibly();
        process.onExit().join();
    }

    /**
     * Requests a graceful stop and kills the process if it has not exited after {@link #GRACE_MILLIS}.
     *
     * @return whether the process exited within the grace period
     */
    boolean stop() {
        exitExpected = true;
        process.destroy();
        try {
            boolean stopped = process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            if (!stopped) {
                kill();
            }
            return stopped;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new IllegalStateException("cannot send a signal to the daemon", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the process exited without having been stopped or killed by the test. */
    boolean exitedUnexpectedly() {
        return !process.isAlive() && !exitExpected;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns what all runs of the daemon have logged so far. */
    String logged() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    String name() {
        return name;
    }

    String front() {
        return ip + ":" + FRONT_PORT;
    }

    FaultProxy store() {
        return store;
    }

    @Override
    public void close() throws IOException {
        kill();
        store.close();
    }
}
