package org.ragwortpitch.edge.control;

import java.util.List;
import org.ragwortpitch.adapter.KeyedRecord;

/**
 * Receives the records of a keyed topic.
 */
interface TopicListener {

    /**
     * Called with the newest record of every key, which replace all earlier records.
     *
     * @param endOffset the offset of the first record after the load
     */
    void onLoaded(List<KeyedRecord> records, long endOffset);

    /**
     * Called with newer records, in order.
     */
    void onRecords(List<KeyedRecord> records);

    /**
     * Called after each successful reading, whether it brought records or not.
     */
    void onRead(TopicReading reading);
}
