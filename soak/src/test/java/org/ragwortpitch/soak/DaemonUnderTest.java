package org.ragwortpitch.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.standin.FaultProxy;

/**
 * A daemon in a process of its own, at a loopback address of its own, behind a proxy towards the store.
 */
final class DaemonUnderTest implements AutoCloseable {

    private static final int FRONT_PORT = 8221;

    /** How long a daemon may take to stop, in milliseconds, as its settings say. */
    static final long GRACE_MILLIS = 8_000;

    private final String name;
    private final String ip;
    private final FaultProxy store;
    private final Path settings;
    private final Path log;
    private final String mainClass;
    private volatile Process process;
    private volatile boolean endExpected;

    DaemonUnderTest(Path directory, String name, String ip, String domain, FaultProxy store, String mainClass)
            throws IOException {
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

    /** Starts it, unless a fault that overlapped has done so. */
    synchronized void start() {
        if (process != null && process.isAlive()) {
            return;
        }
        try {
            endExpected = false;
            ProcessBuilder builder = new ProcessBuilder(List.of(
                    System.getProperty("java.home") + "/bin/java",
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    mainClass));
            builder.environment().put("RAGWORTPITCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        } catch (IOException exception) {
            throw new IllegalStateException("a daemon can't be started", exception);
        }
    }

    /** Kills it, also while it is paused. */
    void kill() {
        endExpected = true;
        process.destroyForcibly();
        process.onExit().join();
    }

    /**
     * Asks it to stop, and kills it once its time is over.
     *
     * @return whether it stopped in time
     */
    boolean stop() {
        endExpected = true;
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
            throw new IllegalStateException("no signal can be sent", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells whether the process ended though nobody ended it. */
    boolean endedByItself() {
        return !process.isAlive() && !endExpected;
    }

    boolean isAlive() {
        return process.isAlive();
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
