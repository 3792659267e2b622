package org.ragwortpitch.journal;

/**
 * A member leaves of its own accord, after it has stopped to act as one.
 */
public record MemberLeft() implements LogEntry {}
