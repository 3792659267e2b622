package org.ragwortpitch.control;

import java.util.List;
import org.ragwortpitch.platform.StoredRecord;

/**
 * Another member sent log records that it has applied.
 *
 * @param records the records in the order of their offsets
 */
public record PeerRecords(List<StoredRecord> records) implements ControlMessage {

    /**
     * Copies the list.
     */
    public PeerRecords {
        records = List.copyOf(records);
    }
}
