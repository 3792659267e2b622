package org.ragwortpitch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.MemberLeft;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Guards against a lost acknowledgement of the log that leaves an entry unwritten or its caller waiting: the batch is
 * resent unchanged until it is acknowledged or its records are read back.
 */
class LogWriterTest {

    private static final Incarnation WRITER = new Incarnation("w");

    private final List<List<String>> appended = new ArrayList<>();

    private final LogWriter writer = new LogWriter(new LogClient() {

        @Override
        public void append(long batch, List<String> texts) {
            appended.add(texts);
        }

        @Override
        public void read(long fromOffset, long sentMillis) {
            throw new IllegalStateException("the writer must not read the log");
        }
    });

    private void addUsage(String request, CompletableFuture<Long> durable) {
        writer.addUsage(new UsageEntry(new AccountId("a"), new RequestId(request), "m", 0, 1, 0, 1), durable);
    }

    @Test
    void testUnansweredBatchIsResentUnchanged() {
        writer.add(new MemberLeft());
        writer.flush(WRITER, 0);
        writer.handleFailure(new AppendFailed(1, "lost"), 0);
        writer.flush(WRITER, 50);
        assertEquals(1, appended.size());
        writer.flush(WRITER, 100);
        assertEquals(appended.get(0), appended.get(1));
    }

    @Test
    void testLostAcknowledgementIsResolvedByReadBack() {
        PendingEntry pending = writer.add(new MemberLeft());
        writer.flush(WRITER, 0);
        writer.handleFailure(new AppendFailed(1, "lost"), 0);
        writer.handleReadBack(pending.sequence(), 17, ApplyResult.ACCEPTED);
        writer.flush(WRITER, 10_000);
        assertEquals(1, appended.size());
        assertEquals(17, pending.acknowledged().join());
        assertFalse(writer.isFailing());
    }

    @Test
    void testUsageAddedDuringAppendIsSentAsOneEntry() {
        CompletableFuture<Long> first = new CompletableFuture<>();
        CompletableFuture<Long> second = new CompletableFuture<>();
        writer.add(new MemberLeft());
        writer.flush(WRITER, 0);
        addUsage("r", first);
        addUsage("s", second);
        writer.flush(WRITER, 1);
        assertEquals(1, appended.size());
        writer.handleAcknowledgement(1, 5);
        writer.flush(WRITER, 2);
        assertEquals(1, appended.get(1).size());
        writer.handleAcknowledgement(2, 6);
        assertTrue(first.isDone() && second.isDone());
    }

    @Test
    void testAcknowledgementOfAnotherBatchIsIgnored() {
        PendingEntry pending = writer.add(new MemberLeft());
        writer.flush(WRITER, 0);
        writer.handleAcknowledgement(0, 3);
        assertFalse(pending.acknowledged().isDone());
    }
}
