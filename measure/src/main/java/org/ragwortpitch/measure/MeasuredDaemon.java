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
 * A daemon in a process of its own, whose processor time and memory are read from the operating system.
 */
final class MeasuredDaemon implements AutoCloseable {

    /**
     * The token that operators show.
     */
    static final String TOKEN = "operator-token-of-measurements";

    /**
     * How many ticks of processor time make a second.
     */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * What the daemon says when it is ready.
     */
    private static final Pattern READY = Pattern.compile("callers=\\S+:(\\d+) operators=\\S+:(\\d+)");

    /**
     * How long a start may take, in milliseconds.
     */
    private static final long START_MILLIS = 60_000;

    /**
     * The process.
     */
    private final Process process;

    /**
     * What the daemon prints.
     */
    private final Path log;

    /**
     * The port for callers.
     */
    private int callerPort;

    /**
     * The port for operators.
     */
    private int operatorPort;

    /**
     * Starts a daemon.
     *
     * @param number   the daemon's number
     * @param platform the platform's address, as host and port
     * @param jvmFlags flags of the virtual machine
     * @throws IOException if it cannot be started
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
     * @throws IOException          if it does not come up
     * @throws InterruptedException if the wait is interrupted
     */
    void awaitBound() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        while (System.nanoTime() < endNanos) {
            Matcher ready = READY.matcher(Files.readString(log));
            if (ready.find()) {
                callerPort = Integer.parseInt(ready.group(1));
                operatorPort = Integer.parseInt(ready.group(2));
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("the daemon did not come up: " + Files.readString(log));
    }

    /**
     * Tells the processor time used so far.
     *
     * @return the time, in seconds
     * @throws IOException if the operating system does not tell
     */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    /**
     * Tells the resident memory.
     *
     * @return the memory, in megabytes
     * @throws IOException if the operating system does not tell
     */
    double residentMegabytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        throw new IOException("no resident memory is told");
    }

    /**
     * Tells the port for callers.
     *
     * @return the port
     */
    int callerPort() {
        return callerPort;
    }

    /**
     * Tells the port for operators.
     *
     * @return the port
     */
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
