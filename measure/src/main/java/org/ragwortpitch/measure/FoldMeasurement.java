package org.ragwortpitch.measure;

import java.io.PrintStream;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.LogEntry;
import org.ragwortpitch.controllog.MemberJoined;
import org.ragwortpitch.controllog.MemberRenewed;
import org.ragwortpitch.controllog.UsageRecorded;
import org.ragwortpitch.controllog.codec.RecordCodec;
import org.ragwortpitch.http.Json;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.platform.StoredRecord;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Measures the time to decode and apply a log with the lease renewals of one cell of daemons and with batches of usage.
 * Arguments: records, members.
 */
final class FoldMeasurement implements Measurement {

    /**
     * Usage entries in a batch.
     */
    private static final int BATCH = 10;

    /**
     * Every n-th record is a batch of usage.
     */
    private static final int USAGE_EVERY = 4;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        int records = (int) arguments.number(0, 1_000_000);
        int members = (int) arguments.number(1, 40);
        table.println("records,members,decode_and_fold_seconds,microseconds_per_record,checkpoint_bytes,log_bytes");
        measure(records / 10, members);
        table.println(measure(records, members));
    }

    /**
     * Decodes and applies a generated log.
     *
     * @return the table row
     */
    private static String measure(int records, int members) {
        ControlStateReducer state = new ControlStateReducer();
        long nanos = 0;
        long bytes = 0;
        for (int offset = 0; offset < records; offset++) {
            String text = text(offset, members);
            bytes += text.length();
            long startNanos = System.nanoTime();
            RecordCodec.decode(new StoredRecord(offset, text)).ifPresent(state::apply);
            nanos += System.nanoTime() - startNanos;
        }
        int checkpointBytes = Json.write(state.checkpoint()).length();
        return String.format(
                "%d,%d,%.2f,%.2f,%d,%d", records, members, nanos / 1e9, nanos / 1e3 / records, checkpointBytes, bytes);
    }

    /**
     * Returns the encoded record for an offset: joins of all members come first, then renewals and usage.
     */
    private static String text(int offset, int members) {
        int member = offset % members;
        Incarnation writer = new Incarnation("01a23ee5-1ebf-7e8f-af6e-79614115b" + (100 + member));
        LogEntry entry;
        if (offset < members) {
            entry = new MemberJoined(
                    new InstanceId("entry-" + member),
                    new FailureDomain("f" + member % 3),
                    "h:1",
                    "h" + member,
                    offset);
        } else if (offset % USAGE_EVERY == 0) {
            entry = new UsageRecorded(java.util.stream.IntStream.range(0, BATCH)
                    .mapToObj(index -> usage(offset, index))
                    .toList());
        } else {
            entry = new MemberRenewed(offset - 1, false);
        }
        return RecordCodec.encode(writer, offset + 1L, entry);
    }

    /**
     * Returns the usage entry of one request.
     *
     * @param offset the record's offset
     * @param index  position in the batch, from 0
     */
    private static UsageEntry usage(int offset, int index) {
        long window = 60_000L * (offset / 1_000);
        RequestId request = new RequestId("01a23ee5-a5ba-7d9d-9659-" + (offset * 10L + index));
        return new UsageEntry(new AccountId("account-" + index), request, "waiver-llm", window, 900, 300, 120);
    }
}
