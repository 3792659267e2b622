package org.ragwortpitch.scenarios;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.standin.FaultProxy;

/**
 * A daemon in a separate process that reaches the platform, and is reached by other daemons, through fault proxies.
 */
final class DaemonProcess implements AutoCloseable {

    private static final Pattern READY =
            Pattern.compile("event=daemon-ready .*callers=\\S+:(\\d+) operators=\\S+:(\\d+) peers=\\S+:(\\d+)");

    private final String name;

    private final List<String> command;

    private final FaultProxy platform;

    private final FaultProxy peers;

    private final Path log;

    private Process process;

    private volatile int callerPort;

    private volatile int operatorPort;

    private volatile int peerPort = 1;

    DaemonProcess(String name, int platformPort, List<String> flags) throws IOException {
        this.name = name;
        this.platform = new FaultProxy(() -> platformPort);
        this.peers = new FaultProxy(() -> peerPort);
        this.log = Files.createTempFile("daemon-" + name, ".log");
        this.command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx160m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.ragwortpitch.daemon.Main",
                "--instance",
                name,
                "--caller-port",
                "0",
                "--operator-port",
                "0",
                "--peer-port",
                "0",
                "--peer-address",
                "127.0.0.1:" + peers.port(),
                "--platform-uri",
                "http://127.0.0.1:" + platform.port()));
        command.addAll(flags);
    }

    void start() throws IOException {
        Files.writeString(log, "");
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(new File(log.toString()))
                .start();
    }

    void awaitBound() {
        Await.until(name + " binding its ports", 60_000, () -> {
            Matcher ready = READY.matcher(Files.readString(log));
            if (!ready.find()) {
                return false;
            }
            callerPort = Integer.parseInt(ready.group(1));
            operatorPort = Integer.parseInt(ready.group(2));
            peerPort = Integer.parseInt(ready.group(3));
            return true;
        });
    }

    void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /**
     * Requests a graceful shutdown; returns without waiting for the exit.
     */
    void terminate() {
        process.destroy();
    }

    int awaitExit(long withinMillis) throws InterruptedException {
        return process.waitFor(withinMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    String name() {
        return name;
    }

    int callerPort() {
        return callerPort;
    }

    int operatorPort() {
        return operatorPort;
    }

    FaultProxy platform() {
        return platform;
    }

    FaultProxy peers() {
        return peers;
    }

    String logText() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            kill();
        }
        platform.close();
        peers.close();
        Files.deleteIfExists(log);
    }
}
