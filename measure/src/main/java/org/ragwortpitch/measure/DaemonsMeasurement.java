package org.ragwortpitch.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.standin.StandinSettings;

/**
 * Measures the cost of idle daemons for growing fleet sizes: processor time, memory, bytes sent to peers and log
 * appends. Arguments: the fleet sizes separated by commas, the measured seconds.
 */
final class DaemonsMeasurement implements Measurement {

    /**
     * Time for which a fleet settles before it is measured, in seconds.
     */
    private static final long SETTLE_SECONDS = 10;

    /**
     * JVM flags of the measured daemons.
     */
    static final List<String> JVM_FLAGS = List.of("-Xmx160m", "-XX:+UseSerialGC", "-Xss512k");

    @Override
    public void run(Arguments arguments, PrintStream table) throws Exception {
        long seconds = arguments.number(1, 15);
        table.println("daemons,cpu_percent_of_a_core_each,resident_mb_each,peer_bytes_per_second_each,"
                + "appends_per_second_all");
        int[] counts = Arrays.stream(arguments.word(0, "2,4,8").split(","))
                .mapToInt(Integer::parseInt)
                .toArray();
        for (int count : counts) {
            try (MeasuredFleet fleet = new MeasuredFleet(count, new StandinSettings().withEngines(2), JVM_FLAGS)) {
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
                table.println(measure(fleet, seconds));
            }
        }
    }

    /**
     * Measures a running fleet.
     *
     * @return the table row
     * @throws IOException          if a value cannot be read
     * @throws InterruptedException if the wait is interrupted
     */
    private static String measure(MeasuredFleet fleet, long seconds) throws IOException, InterruptedException {
        int count = fleet.daemons().size();
        double cpu = 0;
        double bytes = 0;
        double resident = 0;
        long appends = fleet.appends();
        for (MeasuredDaemon daemon : fleet.daemons()) {
            cpu -= daemon.cpuSeconds();
            bytes -= fleet.control(daemon, "peer_sent_bytes");
        }
        TimeUnit.SECONDS.sleep(seconds);
        for (MeasuredDaemon daemon : fleet.daemons()) {
            cpu += daemon.cpuSeconds();
            bytes += fleet.control(daemon, "peer_sent_bytes");
            resident += daemon.residentMegabytes();
        }
        return String.format(
                "%d,%.2f,%.0f,%.0f,%.1f",
                count,
                100 * cpu / seconds / count,
                resident / count,
                bytes / seconds / count,
                (double) (fleet.appends() - appends) / seconds);
    }
}
