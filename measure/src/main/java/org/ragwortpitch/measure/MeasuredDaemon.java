package org.ragwortpitch.measure;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A daemon in a separate process whose processor time and memory are read from {@code /proc}.
 */
final class MeasuredDaemon implements AutoCloseable {

    /**
     * Bearer token of the operator API.
     */
    static final String TOKEN = "operator-token-of-measurements";

    /**
     * Clock ticks a second in {@code /proc/PID/stat}; {@code USER_HZ}, 100 on Linux.
     */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * Part of the {@code daemon-ready} log line, which the daemon writes once its ports are bound.
     */
    private static final Pattern READY = Pattern.compile("callers=\\S+:(\\d+) operators=\\S+:(\\d+)");

    /**
     * Longest time until the daemon has bound its ports, in milliseconds.
     */
    private static final long START_TIMEOUT_MILLIS = 60_000;

    private final Process process;

    private final Path log;

    private int callerPort;

    private int operatorPort;

    /**
     * Starts a daemon without waiting for it.
     *
     * @param number   daemon number, which determines its instance name and failure domain
     * @param platform address of the platform, as host and port
     * @throws IOException if the process cannot be started
     */
    MeasuredDaemon(int number, String platform, List<String> jvmFlags) throws IOException {
        log = Files.createTempFile("measured-daemon", ".log");
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
        command.addAll(jvmFlags);
        command.addAll(List.of("-jar", "daemon/target/ragwortpitchd.jar"));
        command.addAll(List.of("--instance", "i" + number, "--failure-domain", "f" + number % 3));
        command.addAll(List.of("--caller-port", "0", "--operator-port", "0", "--peer-port", "0"));
        command.addAll(List.of("--operator-token", TOKEN, "--peer-secret", "peer-secret-of-measurements"));
        command.addAll(List.of("--platform-uri", "http://" + platform));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(new File(log.toString()))
                .start();
    }

    /**
     * Waits until the daemon has bound its ports.
     *
     * @throws IOException          if the ports are not bound within the timeout
     * @throws InterruptedException if the wait is interrupted
     */
    void awaitBound() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (System.nanoTime() < endNanos) {
            Matcher ready = READY.matcher(Files.readString(log));
            if (ready.find()) {
                callerPort = Integer.parseInt(ready.group(1));
                operatorPort = Integer.parseInt(ready.group(2));
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("the daemon did not bind its ports in time: " + Files.readString(log));
    }

    /**
     * Returns the user and system time of the process so far, in seconds.
     *
     * @throws IOException if it cannot be read
     */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    /**
     * Returns the resident memory, in MiB.
     *
     * @throws IOException if it cannot be read
     */
    double residentMegabytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        throw new IOException("no VmRSS line in /proc status");
    }

    int callerPort() {
        return callerPort;
    }

    int operatorPort() {
        return operatorPort;
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        process.onExit().join();
        Files.deleteIfExists(log);
    }
}
