package org.ragwortpitch.control;

/**
 * What becomes of keyed routes while this daemon does not reach the log.
 */
public enum OutageKeys {
    /**
     * They are served only while another member is in touch with the log and vouches for the rules.
     */
    REFUSE,
    /**
     * They are also served while all members agree that none has newer rules.
     */
    AGREED,
    /**
     * They are served in any case; a withdrawn key may go on working on a daemon that is cut off.
     */
    SERVE
}
