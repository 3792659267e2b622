package org.ragwortpitch.edge.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.ragwortpitch.logging.Event;

/**
 * Writes logs to the standard output from a thread of its own. Whoever logs never waits: beyond a number of lines a
 * second, or while the output is stuck, lines are dropped and counted.
 */
public final class QueuedLog extends Handler {

    /** Lines that wait for the output at most; a few seconds of a busy daemon. */
    private static final int MAX_WAITING = 2_048;

    /** Lines in a second at most; three lines for each request of a daemon at its usual limit. */
    private static final int MAX_PER_SECOND = 600;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final long POLL_MILLIS = 5;

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong pending = new AtomicLong();
    private final Formatter format;
    private final PrintStream out;
    private long secondStartedMillis;
    private int inSecond;

    private QueuedLog(Formatter format, PrintStream out) {
        this.format = format;
        this.out = out;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Makes this the only log of the process.
     */
    public static QueuedLog install(Formatter format, PrintStream out) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        QueuedLog log = new QueuedLog(format, out);
        root.addHandler(log);
        return log;
    }

    /**
     * Waits until all lines are written, before the process ends.
     *
     * @param millis how long at most, in milliseconds
     */
    public void awaitWritten(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (pending.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!withinRate(record.getMillis())) {
            dropped.incrementAndGet();
            return;
        }
        pending.incrementAndGet();
        if (!waiting.offer(format.format(record))) {
            pending.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean withinRate(long nowMillis) {
        if (Math.abs(nowMillis - secondStartedMillis) >= MILLIS_PER_SECOND) {
            secondStartedMillis = nowMillis;
            inSecond = 0;
        }
        return ++inSecond <= MAX_PER_SECOND;
    }

    private void write() {
        StringBuilder lines = new StringBuilder();
        try {
            while (true) {
                lines.append(waiting.take());
                int taken = 1;
                for (String more = waiting.poll(); more != null; more = waiting.poll()) {
                    lines.append(more);
                    taken++;
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    lines.append(Event.of("log-lines-dropped").with("count", lost))
                            .append('\n');
                }
                byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                out.flush();
                pending.addAndGet(-taken);
                lines.setLength(0);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void flush() {
        // Lines are written by the log's own thread as they come.
    }

    @Override
    public void close() {
        // The thread ends with the process.
    }
}
