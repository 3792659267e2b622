package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.Checkpoint;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.codec.RecordCodec;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.StoredRecord;

/**
 * Applies the records of the log to the control state in the order of their offsets. If records that were not yet
 * applied have been trimmed, it looks for a checkpoint, restores the state from it and continues after the prefix that
 * the checkpoint covers. Confined to the control thread.
 */
final class LogReplayer {

    private static final Logger LOGGER = System.getLogger(LogReplayer.class.getName());

    /**
     * How many of the last applied records are retained for members whose reads are slow.
     */
    private static final int MAX_RECENT_RECORDS = 1_000;

    private final ControlStateReducer reducer;

    private final AppliedRecordListener listener;

    private long nextOffset;

    /**
     * Whether records were missed, so that none is applied until a checkpoint is found.
     */
    private boolean seekingCheckpoint;

    private final Deque<StoredRecord> recentRecords = new ArrayDeque<>();

    LogReplayer(ControlStateReducer reducer, AppliedRecordListener listener) {
        this.reducer = reducer;
        this.listener = listener;
    }

    /**
     * Applies a page read from the log. Records that were applied before are ignored.
     *
     * @param page the page
     * @return whether all records up to the head of the log, as of the page, are now applied
     */
    boolean applyPage(LogPage page) {
        if (!seekingCheckpoint && page.oldestOffset() > nextOffset) {
            seekingCheckpoint = true;
            nextOffset = page.oldestOffset();
        }
        for (StoredRecord stored : page.records()) {
            if (stored.offset() == nextOffset) {
                applyNext(stored, page.oldestOffset());
            }
        }
        return !seekingCheckpoint && nextOffset >= page.headOffset();
    }

    /**
     * Applies records that another member sent, as far as they follow the applied ones without a gap. None is applied
     * before a record was read from the log itself.
     *
     * @param records the records in the order of their offsets
     * @return whether any was applied
     */
    boolean applyPeerRecords(List<StoredRecord> records) {
        long before = nextOffset;
        for (StoredRecord stored : records) {
            if (!seekingCheckpoint && nextOffset > 0 && stored.offset() == nextOffset) {
                applyNext(stored, 0);
            }
        }
        return nextOffset > before;
    }

    /**
     * Returns the records applied last.
     *
     * @param fromOffset the first log offset to return
     * @return the records from that offset on; empty if older records than those retained are requested, or while a
     *         checkpoint is being looked for
     */
    List<StoredRecord> recentRecords(long fromOffset) {
        boolean retained = !seekingCheckpoint
                && !recentRecords.isEmpty()
                && recentRecords.peekFirst().offset() <= fromOffset;
        return retained
                ? recentRecords.stream()
                        .filter(stored -> stored.offset() >= fromOffset)
                        .toList()
                : List.of();
    }

    /**
     * Applies the record at the next offset. A record that cannot be decoded, such as one of a newer version, is
     * skipped.
     */
    private void applyNext(StoredRecord stored, long oldestOffset) {
        nextOffset = stored.offset() + 1;
        recentRecords.addLast(stored);
        if (recentRecords.size() > MAX_RECENT_RECORDS) {
            recentRecords.removeFirst();
        }
        Optional<LogRecord> record = RecordCodec.decode(stored);
        if (seekingCheckpoint) {
            record.ifPresent(found -> tryRestore(found, oldestOffset));
        } else if (record.isPresent()) {
            ApplyResult result = reducer.apply(record.get());
            listener.onRecordApplied(record.get(), result);
        } else {
            reducer.skip(stored.offset());
            Event.of("record-skipped").with("offset", stored.offset()).warn(LOGGER);
        }
    }

    /**
     * Restores the state from a checkpoint if all records after the prefix that it covers are still in the log.
     */
    private void tryRestore(LogRecord record, long oldestOffset) {
        if (record.entry() instanceof Checkpoint checkpoint && checkpoint.upToOffset() + 1 >= oldestOffset) {
            reducer.restore(checkpoint);
            nextOffset = reducer.appliedOffset() + 1;
            seekingCheckpoint = false;
        }
    }

    /**
     * Returns the next log offset to read.
     *
     * @return the offset
     */
    long nextOffset() {
        return nextOffset;
    }
}
