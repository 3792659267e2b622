package org.ragwortpitch.control;

/**
 * Time has passed.
 */
public enum Tick implements ControlMessage {
    /**
     * The only instance.
     */
    INSTANCE
}
