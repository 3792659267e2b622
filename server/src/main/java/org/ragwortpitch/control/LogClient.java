package org.ragwortpitch.control;

import java.util.List;

/**
 * Asynchronous calls to the log. Results arrive as messages to the control thread.
 */
interface LogClient {

    /**
     * Appends a batch of records.
     *
     * @param batch the number of the batch, by which the result is matched
     * @param texts the encoded records
     */
    void append(long batch, List<String> texts);

    /**
     * Reads a page.
     *
     * @param fromOffset the first log offset to read
     * @param sentMillis when the read is sent, of the monotonic clock; returned with the page
     */
    void read(long fromOffset, long sentMillis);
}
