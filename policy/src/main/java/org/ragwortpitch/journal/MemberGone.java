package org.ragwortpitch.journal;

import org.ragwortpitch.identity.Incarnation;

/**
 * A member declares another one gone, its lease having ended.
 *
 * @param target     the member whose lease has ended
 * @param supersedes the offset of the target's newest renewal or join that the writer saw; void if there is a newer one
 */
public record MemberGone(Incarnation target, long supersedes) implements LogEntry {}
