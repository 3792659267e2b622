package org.ragwortpitch.logging;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats each log record as one line: time and level as key=value pairs, then the event. Records that are not events,
 * such as those of libraries, are wrapped in an event named {@code library}.
 */
public final class LogFormat extends Formatter {

    /**
     * Creates a formatter.
     */
    public LogFormat() {}

    /**
     * Replaces the handlers of the root logger by one that writes this format to the standard error stream.
     */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new LogFormat());
        root.addHandler(handler);
    }

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        String event = message.startsWith("event=")
                ? message
                : Event.of("library")
                        .with("logger", record.getLoggerName())
                        .with("message", message)
                        .toString();
        return "time=" + Instant.ofEpochMilli(record.getMillis()) + " level=" + record.getLevel() + " " + event + "\n";
    }
}
