package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.journal.Checkpoint;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.journal.codec.RecordCodec;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.StoredRecord;

/**
 * Follows the log. If records that were not applied have been trimmed, it looks for a checkpoint, restores its state
 * and goes on behind the prefix that the checkpoint states. Confined to the control thread.
 */
final class LogReplayer {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(LogReplayer.class.getName());

    /**
     * How many of the records applied last are remembered.
     */
    private static final int MAX_RECENT_RECORDS = 1_000;

    /**
     * The fold that the records go to.
     */
    private final ControlFold reducer;

    /**
     * What is told of each record.
     */
    private final AppliedRecordListener listener;

    /**
     * The next offset to read.
     */
    private long nextOffset;

    /**
     * Whether a checkpoint is looked for.
     */
    private boolean seekingCheckpoint;

    /**
     * The records applied last, to be handed to members whose reads are slow.
     */
    private final Deque<StoredRecord> recentRecords = new ArrayDeque<>();

    /**
     * Makes a tail that begins at the start of the log.
     *
     * @param fold     the fold that the records go to
     * @param listener what is told of each record
     */
    LogReplayer(ControlFold fold, AppliedRecordListener listener) {
        this.reducer = fold;
        this.listener = listener;
    }

    /**
     * Takes a page.
     *
     * @param page the page
     * @return whether the log's head as of the page is applied now
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
     * Takes records that another member has applied, as far as they follow without a gap.
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
     * Tells the records applied last.
     *
     * @param fromOffset the first offset wanted
     * @return the records from there, as far as they are remembered without a gap
     */
    List<StoredRecord> recentRecords(long fromOffset) {
        boolean reaches = !seekingCheckpoint
                && !recentRecords.isEmpty()
                && recentRecords.peekFirst().offset() <= fromOffset;
        return reaches
                ? recentRecords.stream()
                        .filter(stored -> stored.offset() >= fromOffset)
                        .toList()
                : List.of();
    }

    /**
     * Takes the next record.
     *
     * @param stored       the record as the log keeps it
     * @param oldestOffset the oldest offset that is kept
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
            Verdict verdict = reducer.apply(record.get());
            listener.onRecordApplied(record.get(), verdict);
        } else {
            reducer.skip(stored.offset());
            Event.of("record-skipped").with("offset", stored.offset()).warn(LOGGER);
        }
    }

    /**
     * Restores state if a record is a checkpoint whose following records are still kept.
     *
     * @param record       the record
     * @param oldestOffset the oldest offset that is kept
     */
    private void tryRestore(LogRecord record, long oldestOffset) {
        if (record.entry() instanceof Checkpoint checkpoint && checkpoint.upToOffset() + 1 >= oldestOffset) {
            reducer.restore(checkpoint);
            nextOffset = reducer.appliedOffset() + 1;
            seekingCheckpoint = false;
        }
    }

    /**
     * Tells the next offset to read.
     *
     * @return the offset
     */
    long nextOffset() {
        return nextOffset;
    }
}
