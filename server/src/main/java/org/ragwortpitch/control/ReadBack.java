package org.ragwortpitch.control;

import org.ragwortpitch.journal.Verdict;

/**
 * What became of an entry that was read back.
 *
 * @param offset  its offset
 * @param verdict what the fold made of it
 */
record ReadBack(long offset, Verdict verdict) {}
