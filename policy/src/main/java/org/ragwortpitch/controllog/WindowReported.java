package org.ragwortpitch.controllog;

/**
 * The platform has acknowledged the report of a window.
 *
 * @param window the window, as its start in milliseconds since the epoch
 * @param term   the writer's term of the usage duty
 */
public record WindowReported(long window, long term) implements LogEntry {}
