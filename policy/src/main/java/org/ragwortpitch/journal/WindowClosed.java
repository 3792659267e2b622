package org.ragwortpitch.journal;

/**
 * The holder of the usage duty freezes a window's figures: they follow from the log up to this record.
 *
 * @param window the window, as its start in milliseconds since the epoch
 * @param term   the writer's term of the usage duty
 */
public record WindowClosed(long window, long term) implements LogEntry {}
