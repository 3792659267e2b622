package org.ragwortpitch.edge.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
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

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
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
    public static void install(Formatter format, PrintStream out) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new QueuedLog(format, out));
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!withinRate(record.getMillis()) || !waiting.offer(format.format(record))) {
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
                for (String more = waiting.poll(); more != null; more = waiting.poll()) {
                    lines.append(more);
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    lines.append(Event.of("log-lines-dropped").with("count", lost))
                            .append('\n');
                }
                byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                out.flush();
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
