package org.ragwortpitch.control;

/**
 * The periodic message that triggers due work.
 */
public enum Tick implements ControlMessage {
    /**
     * The only instance.
     */
    INSTANCE
}
