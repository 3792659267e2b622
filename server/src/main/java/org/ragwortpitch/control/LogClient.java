package org.ragwortpitch.control;

import java.util.List;

/**
 * Calls of the log whose answers come as messages.
 */
interface LogClient {

    /**
     * Appends a batch.
     *
     * @param batch the batch's number
     * @param texts the records' texts
     */
    void append(long batch, List<String> texts);

    /**
     * Reads a page.
     *
     * @param fromOffset the first offset wanted
     * @param sentMillis the present time, of the monotonic clock
     */
    void read(long fromOffset, long sentMillis);
}
