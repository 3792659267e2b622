package org.ragwortpitch.edge.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.logging.LogFormat;

/**
 * Tests that lines are written completely, in order and at a bounded rate, and that none is lost when the process ends.
 */
class QueuedLogTest {

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    private QueuedLog log() {
        Logger root = Logger.getLogger("");
        Handler[] before = root.getHandlers();
        QueuedLog log = QueuedLog.install(new LogFormat(), new PrintStream(written, true, StandardCharsets.UTF_8));
        root.removeHandler(log);
        for (Handler handler : before) {
            root.addHandler(handler);
        }
        return log;
    }

    @Test
    void testLastLineIsWrittenBeforeTheProcessEnds() throws InterruptedException {
        QueuedLog log = log();
        for (int line = 0; line < 50; line++) {
            log.publish(new LogRecord(Level.INFO, "event=line number=" + line));
        }
        log.awaitWritten(2_000);
        String text = written.toString(StandardCharsets.UTF_8);
        assertEquals(50, text.lines().count());
        assertTrue(text.endsWith("number=49\n"), text);
    }

    @Test
    void testLinesBeyondTheRateLimitAreDroppedAndCounted() throws InterruptedException {
        QueuedLog log = log();
        LogRecord line = new LogRecord(Level.INFO, "event=line");
        for (int index = 0; index < 1_000; index++) {
            log.publish(line);
        }
        log.awaitWritten(2_000);
        log.publish(lineASecondLater(line));
        log.awaitWritten(2_000);
        String text = written.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("event=log-lines-dropped"), "lines beyond the rate limit are dropped and counted");
        assertTrue(text.lines().count() < 620, text.lines().count() + " lines");
    }

    private static LogRecord lineASecondLater(LogRecord line) {
        LogRecord later = new LogRecord(Level.INFO, "event=later");
        later.setInstant(line.getInstant().plusSeconds(2));
        return later;
    }
}
