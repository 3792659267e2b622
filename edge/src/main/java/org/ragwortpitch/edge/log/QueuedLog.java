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
 * Log handler that writes lines to a stream from a thread of its own, so that logging never blocks the caller. Lines
 * beyond a rate limit, or that exceed the queue while the output is blocked, are dropped and counted.
 */
public final class QueuedLog extends Handler {

    /** Most lines that are queued for the output; a few seconds' lines of a busy daemon. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Most lines a second; allows three lines for each request of a daemon at its usual limit. */
    private static final int MAX_LINES_PER_SECOND = 600;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final long POLL_MILLIS = 5;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong pending = new AtomicLong();
    private final Formatter formatter;
    private final PrintStream out;
    private long secondStartedMillis;
    private int linesInSecond;

    private QueuedLog(Formatter formatter, PrintStream out) {
        this.formatter = formatter;
        this.out = out;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Replaces all handlers of the root logger by a new one, which lasts until the process has ended if no logger was
     * created before.
     */
    public static QueuedLog install(Formatter formatter, PrintStream out) {
        System.setProperty(LastingLogManager.PROPERTY, LastingLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        QueuedLog log = new QueuedLog(formatter, out);
        root.addHandler(log);
        return log;
    }

    /**
     * Waits until all queued lines are written or a timeout has passed; for use before the process ends.
     *
     * @param timeoutMillis longest wait, in milliseconds
     * @throws InterruptedException if the wait is interrupted
     */
    public void awaitWritten(long timeoutMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (pending.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!isWithinRate(record.getMillis())) {
            dropped.incrementAndGet();
            return;
        }
        pending.incrementAndGet();
        if (!queue.offer(formatter.format(record))) {
            pending.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean isWithinRate(long nowMillis) {
        if (Math.abs(nowMillis - secondStartedMillis) >= MILLIS_PER_SECOND) {
            secondStartedMillis = nowMillis;
            linesInSecond = 0;
        }
        return ++linesInSecond <= MAX_LINES_PER_SECOND;
    }

    private void write() {
        StringBuilder lines = new StringBuilder();
        try {
            while (true) {
                lines.append(queue.take());
                int taken = 1;
                for (String more = queue.poll(); more != null; more = queue.poll()) {
                    lines.append(more);
                    taken++;
                }
                long droppedLines = dropped.getAndSet(0);
                if (droppedLines > 0) {
                    lines.append(Event.of("log-lines-dropped").with("count", droppedLines))
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
        // The writer thread writes and flushes lines as they come.
    }

    @Override
    public void close() {
        // The writer is a daemon thread and ends with the process.
    }
}
