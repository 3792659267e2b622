package org.ragwortpitch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.ragwortpitch.controllog.LogEntry;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.identity.Incarnation;

/**
 * A log whose appends may be lost, delayed or duplicated, and which may be unavailable for a time.
 */
final class SimulatedLog {

    private final SplittableRandom random;

    private final List<LogRecord> records = new ArrayList<>();

    private final PriorityQueue<PendingAppend> pendingAppends = new PriorityQueue<>();

    private double unavailableUntilMillis;

    SimulatedLog(SplittableRandom random) {
        this.random = random;
    }

    void append(Incarnation writer, long sequence, LogEntry entry, double nowMillis) {
        if (nowMillis < unavailableUntilMillis || random.nextInt(10) == 0) {
            return;
        }
        double[] delaysMillis = {50, 300, 2_000, 8_000, 30_000};
        double delay = random.nextInt(10) < 4 ? delaysMillis[random.nextInt(delaysMillis.length)] : 50;
        pendingAppends.add(new PendingAppend(nowMillis + delay, writer, sequence, entry));
        if (random.nextInt(10) == 0) {
            double later = delay + random.nextDouble() * 20_000;
            pendingAppends.add(new PendingAppend(nowMillis + later, writer, sequence, entry));
        }
    }

    void advance(double nowMillis) {
        while (!pendingAppends.isEmpty() && pendingAppends.peek().atMillis() <= nowMillis) {
            PendingAppend next = pendingAppends.remove();
            records.add(new LogRecord(records.size(), next.writer(), next.sequence(), next.entry()));
        }
    }

    void startOutage(double untilMillis) {
        unavailableUntilMillis = untilMillis;
    }

    boolean isUnavailable(double nowMillis) {
        return nowMillis < unavailableUntilMillis;
    }

    List<LogRecord> records() {
        return records;
    }

    /**
     * An append that has been sent but is not in the log yet.
     */
    private record PendingAppend(double atMillis, Incarnation writer, long sequence, LogEntry entry)
            implements Comparable<PendingAppend> {

        @Override
        public int compareTo(PendingAppend other) {
            return Double.compare(atMillis, other.atMillis);
        }
    }
}
