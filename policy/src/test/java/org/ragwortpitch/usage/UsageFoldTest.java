package org.ragwortpitch.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.UsageRecorded;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.journal.WindowClosed;

/**
 * Tests that usage is counted once and that closed windows do not change.
 */
class UsageFoldTest {

    private static final long MINUTE = 60_000;

    private final UsageFold fold = new UsageFold();

    private long offset;

    private Verdict record(String request, long window) {
        UsageEntry entry = new UsageEntry(new AccountId("a"), new RequestId(request), "m", window, 10, 3, 5);
        UsageRecorded recorded = new UsageRecorded(List.of(entry));
        return fold.recorded(new LogRecord(offset++, new Incarnation("w"), offset, recorded), recorded);
    }

    private void close(long window) {
        WindowClosed closed = new WindowClosed(window, 0);
        fold.closed(new LogRecord(offset++, new Incarnation("w"), offset, closed), closed);
    }

    @Test
    void testRequestIsCountedOnce() {
        assertEquals(Verdict.ACCEPTED, record("r", MINUTE));
        assertEquals(Verdict.DUPLICATE, record("r", MINUTE));
        assertEquals(1, fold.state().openLines().get(0).requests());
    }

    @Test
    void testLateUsageIsAnAdjustmentOfALaterWindow() {
        record("r", MINUTE);
        close(MINUTE);
        List<UsageLine> frozen = fold.nextToReport().orElseThrow().lines();
        record("s", MINUTE);
        assertEquals(frozen, fold.nextToReport().orElseThrow().lines());
        record("t", 2 * MINUTE);
        close(2 * MINUTE);
        FrozenWindow second = fold.state().frozen().get(1);
        assertEquals(2, second.lines().size());
        assertEquals(MINUTE, second.lines().get(0).key().window());
    }

    @Test
    void testUsageOfALaterWindowStaysOpen() {
        record("r", 2 * MINUTE);
        close(MINUTE);
        assertTrue(fold.nextToReport().orElseThrow().lines().isEmpty());
        assertEquals(1, fold.state().openLines().size());
    }

    /**
     * After an outage of an hour several daemons write what they held, between usage of the present.
     */
    @Test
    void testUsageHeldThroughAnOutageIsCountedOnce() {
        record("old", MINUTE);
        record("present", 61 * MINUTE);
        assertEquals(Verdict.DUPLICATE, record("old", MINUTE));
        assertEquals(
                2,
                fold.state().openLines().stream().mapToLong(UsageLine::requests).sum());
    }

    @Test
    void testCountedRequestsAreForgottenInTheEnd() {
        record("old", MINUTE);
        for (int count = 0; count < UsageFold.COUNTED_KEPT_RECORDS + 10; count++) {
            record("r" + count, 61 * MINUTE);
        }
        boolean kept = fold.state().counted().stream()
                .anyMatch(request -> request.request().value().equals("old"));
        assertTrue(!kept);
    }
}
