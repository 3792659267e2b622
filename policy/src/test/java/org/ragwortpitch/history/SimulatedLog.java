package org.ragwortpitch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.LogEntry;
import org.ragwortpitch.journal.LogRecord;

/**
 * A log whose appends may be lost, late or doubled, and which may be out.
 */
final class SimulatedLog {

    private final SplittableRandom random;

    private final List<LogRecord> records = new ArrayList<>();

    private final PriorityQueue<Underway> underway = new PriorityQueue<>();

    private double outUntilMillis;

    SimulatedLog(SplittableRandom random) {
        this.random = random;
    }

    void append(Incarnation writer, long sequence, LogEntry entry, double nowMillis) {
        if (nowMillis < outUntilMillis || random.nextInt(10) == 0) {
            return;
        }
        double[] delaysMillis = {50, 300, 2_000, 8_000, 30_000};
        double delay = random.nextInt(10) < 4 ? delaysMillis[random.nextInt(delaysMillis.length)] : 50;
        underway.add(new Underway(nowMillis + delay, writer, sequence, entry));
        if (random.nextInt(10) == 0) {
            double later = delay + random.nextDouble() * 20_000;
            underway.add(new Underway(nowMillis + later, writer, sequence, entry));
        }
    }

    void advance(double nowMillis) {
        while (!underway.isEmpty() && underway.peek().atMillis() <= nowMillis) {
            Underway next = underway.remove();
            records.add(new LogRecord(records.size(), next.writer(), next.sequence(), next.entry()));
        }
    }

    void out(double untilMillis) {
        outUntilMillis = untilMillis;
    }

    boolean isOut(double nowMillis) {
        return nowMillis < outUntilMillis;
    }

    List<LogRecord> records() {
        return records;
    }

    /**
     * An append under way.
     */
    private record Underway(double atMillis, Incarnation writer, long sequence, LogEntry entry)
            implements Comparable<Underway> {

        @Override
        public int compareTo(Underway other) {
            return Double.compare(atMillis, other.atMillis);
        }
    }
}
