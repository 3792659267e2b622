package org.ragwortpitch.control;

/**
 * The log acknowledged a batch of records.
 *
 * @param batch  the number of the batch, as passed to {@link LogClient#append}
 * @param offset the log offset of the first record of the batch
 */
record AppendDone(long batch, long offset) implements ControlMessage {}
