package org.ragwortpitch.journal;

/**
 * What the fold made of a record. All readers reach the same verdict.
 */
public enum Verdict {
    /**
     * The record took effect.
     */
    ACCEPTED,
    /**
     * The same writer's record with this or a later sequence was read before.
     */
    DUPLICATE,
    /**
     * The writer is not, or no longer, a member.
     */
    NOT_A_MEMBER,
    /**
     * Another record came first.
     */
    STALE
}
