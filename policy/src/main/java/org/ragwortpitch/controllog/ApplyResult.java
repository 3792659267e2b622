package org.ragwortpitch.controllog;

/**
 * The result of applying a record. It is the same on every daemon.
 */
public enum ApplyResult {
    /**
     * The record took effect.
     */
    ACCEPTED,
    /**
     * The record was applied before: its offset was already read, the same writer has used this or a later sequence
     * number, or all of its usage was already counted.
     */
    DUPLICATE,
    /**
     * The writer is not a member, or no longer one.
     */
    NOT_A_MEMBER,
    /**
     * The record has no effect, because of a record before it in the log.
     */
    STALE
}
