package org.ragwortpitch.control;

/**
 * The log acknowledged a batch.
 *
 * @param batch  the batch's number
 * @param offset the offset of its first record
 */
record AppendDone(long batch, long offset) implements ControlMessage {}
