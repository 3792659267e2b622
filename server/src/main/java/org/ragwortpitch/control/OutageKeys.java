package org.ragwortpitch.control;

/**
 * How routes that need an API key are served while this daemon cannot reach the log.
 */
public enum OutageKeys {
    /**
     * They are served only while another member is in contact with the log and confirms that the rules are current.
     */
    REFUSE,
    /**
     * They are also served while all members agree that none has newer rules.
     */
    AGREED,
    /**
     * They are always served. A revoked key may continue to work on a daemon that is cut off.
     */
    SERVE
}
