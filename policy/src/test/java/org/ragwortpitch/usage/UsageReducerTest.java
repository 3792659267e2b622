package org.ragwortpitch.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.UsageRecorded;
import org.ragwortpitch.controllog.WindowClosed;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.RequestId;

/**
 * Guards against usage that is billed twice, or a closed window whose figures change. Both come about when a daemon
 * writes a usage record late or more than once.
 */
class UsageReducerTest {

    private static final long MINUTE_MILLIS = 60_000;

    private final UsageReducer reducer = new UsageReducer();

    private long offset;

    private ApplyResult applyUsage(String request, long window) {
        UsageEntry entry = new UsageEntry(new AccountId("a"), new RequestId(request), "m", window, 10, 3, 5);
        UsageRecorded recorded = new UsageRecorded(List.of(entry));
        return reducer.applyUsage(new LogRecord(offset++, new Incarnation("w"), offset, recorded), recorded);
    }

    private void applyClose(long window) {
        WindowClosed closed = new WindowClosed(window, 0);
        reducer.applyWindowClose(new LogRecord(offset++, new Incarnation("w"), offset, closed), closed);
    }

    @Test
    void testRequestIsCountedOnce() {
        assertEquals(ApplyResult.ACCEPTED, applyUsage("r", MINUTE_MILLIS));
        assertEquals(ApplyResult.DUPLICATE, applyUsage("r", MINUTE_MILLIS));
        assertEquals(1, reducer.state().openLines().get(0).requests());
    }

    @Test
    void testLateUsageBecomesAdjustmentInLaterWindow() {
        applyUsage("r", MINUTE_MILLIS);
        applyClose(MINUTE_MILLIS);
        List<UsageLine> frozen = reducer.nextToReport().orElseThrow().lines();
        applyUsage("s", MINUTE_MILLIS);
        assertEquals(frozen, reducer.nextToReport().orElseThrow().lines());
        applyUsage("t", 2 * MINUTE_MILLIS);
        applyClose(2 * MINUTE_MILLIS);
        FrozenWindow second = reducer.state().frozen().get(1);
        assertEquals(2, second.lines().size());
        assertEquals(MINUTE_MILLIS, second.lines().get(0).key().window());
    }

    @Test
    void testUsageOfLaterWindowStaysOpen() {
        applyUsage("r", 2 * MINUTE_MILLIS);
        applyClose(MINUTE_MILLIS);
        assertTrue(reducer.nextToReport().orElseThrow().lines().isEmpty());
        assertEquals(1, reducer.state().openLines().size());
    }

    /**
     * Daemons buffer usage during an outage of the log and write it afterwards, interleaved with current usage. Their
     * records arrive an hour of window time late and may be duplicates.
     */
    @Test
    void testUsageBufferedDuringLogOutageIsCountedOnce() {
        applyUsage("old", MINUTE_MILLIS);
        applyUsage("current", 61 * MINUTE_MILLIS);
        assertEquals(ApplyResult.DUPLICATE, applyUsage("old", MINUTE_MILLIS));
        assertEquals(
                2,
                reducer.state().openLines().stream()
                        .mapToLong(UsageLine::requests)
                        .sum());
    }

    @Test
    void testCountedRequestsExpire() {
        applyUsage("old", MINUTE_MILLIS);
        for (int count = 0; count < UsageReducer.DEDUPLICATION_RECORDS + 10; count++) {
            applyUsage("r" + count, 61 * MINUTE_MILLIS);
        }
        boolean retained = reducer.state().counted().stream()
                .anyMatch(request -> request.request().value().equals("old"));
        assertTrue(!retained);
    }
}
