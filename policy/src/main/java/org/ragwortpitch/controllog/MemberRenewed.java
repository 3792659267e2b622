package org.ragwortpitch.controllog;

/**
 * A member renews its lease.
 *
 * @param appliedOffset the offset of the last record that the member had applied when it wrote this one
 * @param leaving       whether the member is shutting down gracefully and accepts no new callers
 */
public record MemberRenewed(long appliedOffset, boolean leaving) implements LogEntry {}
