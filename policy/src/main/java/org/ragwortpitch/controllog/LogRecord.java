package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.Incarnation;

/**
 * A record as read from the log.
 *
 * @param offset   the position in the log, which orders all records
 * @param writer   the incarnation that wrote the record
 * @param sequence the writer's own sequence number, by which readers drop repeated appends
 * @param entry    the content
 */
public record LogRecord(long offset, Incarnation writer, long sequence, LogEntry entry) {}
