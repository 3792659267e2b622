package org.ragwortpitch.control;

/**
 * An append failed or was not acknowledged. The batch may still have been written to the log.
 *
 * @param batch  the number of the batch, as passed to {@link LogClient#append}
 * @param reason the message of the failure
 */
record AppendFailed(long batch, String reason) implements ControlMessage {}
