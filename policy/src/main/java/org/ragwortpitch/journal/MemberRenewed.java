package org.ragwortpitch.journal;

/**
 * A member renews its lease.
 *
 * @param appliedOffset the last offset that the member had applied when it wrote this
 * @param leaving       whether the member has begun a graceful shutdown and takes no new callers
 */
public record MemberRenewed(long appliedOffset, boolean leaving) implements LogEntry {}
