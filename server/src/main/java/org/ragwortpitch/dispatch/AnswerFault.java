package org.ragwortpitch.dispatch;

/**
 * What can be wrong with an endpoint's answer.
 */
public enum AnswerFault {
    /**
     * An event belongs to another request or attempt.
     */
    CROSSED,
    /**
     * Tokens are missing.
     */
    GAP,
    /**
     * The answer ended without a finish.
     */
    TRUNCATED,
    /**
     * The answer goes on after its finish.
     */
    AFTER_FINISH
}
