package org.ragwortpitch.edge.control;

import java.util.List;
import org.ragwortpitch.contract.KeyedRecord;

/**
 * Hears of the records of a keyed topic.
 */
interface TopicListener {

    /**
     * The newest record of each key, all of them; replaces what was heard before.
     */
    void onLoaded(List<KeyedRecord> records);

    /**
     * Newer records, in order.
     */
    void onRecords(List<KeyedRecord> records);
}
