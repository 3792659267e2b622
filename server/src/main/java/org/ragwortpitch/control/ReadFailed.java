package org.ragwortpitch.control;

/**
 * A read of the log failed.
 *
 * @param reason why
 */
record ReadFailed(String reason) implements ControlMessage {}
