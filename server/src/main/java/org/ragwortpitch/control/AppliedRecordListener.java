package org.ragwortpitch.control;

import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;

/**
 * Receives each log record after it was applied to the control state.
 */
@FunctionalInterface
interface AppliedRecordListener {

    /**
     * Called on the control thread after a record was applied.
     *
     * @param record the record
     * @param result whether the record took effect
     */
    void onRecordApplied(LogRecord record, ApplyResult result);
}
