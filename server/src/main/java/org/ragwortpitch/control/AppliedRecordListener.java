package org.ragwortpitch.control;

import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;

/**
 * Is told of each record that is read.
 */
@FunctionalInterface
interface AppliedRecordListener {

    /**
     * A record was applied.
     *
     * @param record  the record
     * @param verdict what the fold made of it
     */
    void onRecordApplied(LogRecord record, Verdict verdict);
}
