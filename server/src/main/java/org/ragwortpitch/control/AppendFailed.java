package org.ragwortpitch.control;

/**
 * The log did not acknowledge a batch, which may still take effect.
 *
 * @param batch  the batch's number
 * @param reason why
 */
record AppendFailed(long batch, String reason) implements ControlMessage {}
