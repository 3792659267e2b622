package org.ragwortpitch.control;

import org.ragwortpitch.controllog.ApplyResult;

/**
 * The result of reading back a record that this daemon wrote.
 *
 * @param offset  the log offset of the record
 * @param result whether the record took effect
 */
record ReadBack(long offset, ApplyResult result) {}
