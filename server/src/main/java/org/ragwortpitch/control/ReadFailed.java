package org.ragwortpitch.control;

/**
 * A read of the log failed.
 *
 * @param reason the message of the failure
 */
record ReadFailed(String reason) implements ControlMessage {}
