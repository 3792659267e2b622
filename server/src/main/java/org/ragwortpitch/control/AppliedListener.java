package org.ragwortpitch.control;

import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;

/**
 * Is told of each record that is read.
 */
interface AppliedListener {

    /**
     * A record was applied.
     *
     * @param record  the record
     * @param verdict what the fold made of it
     */
    void applied(LogRecord record, Verdict verdict);

    /**
     * A record of an unknown kind or version was passed over.
     *
     * @param offset its offset
     */
    void skipped(long offset);
}
