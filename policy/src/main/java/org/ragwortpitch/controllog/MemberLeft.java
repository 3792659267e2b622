package org.ragwortpitch.controllog;

/**
 * A member leaves voluntarily, after it has stopped acting as one.
 */
public record MemberLeft() implements LogEntry {}
