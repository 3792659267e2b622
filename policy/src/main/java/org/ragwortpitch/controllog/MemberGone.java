package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.Incarnation;

/**
 * A member evicts another one, whose lease has expired.
 *
 * @param target     the member to evict
 * @param supersedes the offset of the target's latest renewal or join that the writer has read; the record has no
 *                   effect if there is a newer one
 */
public record MemberGone(Incarnation target, long supersedes) implements LogEntry {}
