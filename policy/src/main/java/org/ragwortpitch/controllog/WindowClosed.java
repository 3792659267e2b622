package org.ragwortpitch.controllog;

/**
 * The holder of the usage duty closes a window. The window's figures follow from the log up to this record and are
 * frozen.
 *
 * @param window the window, as its start in milliseconds since the epoch
 * @param term   the writer's term of the usage duty
 */
public record WindowClosed(long window, long term) implements LogEntry {}
