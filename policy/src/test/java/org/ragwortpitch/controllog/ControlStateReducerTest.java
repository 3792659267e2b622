package org.ragwortpitch.controllog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.configuration.Supply;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.OperationId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.operation.OperationOutcome;
import org.ragwortpitch.operation.OperationOutcomeKind;
import org.ragwortpitch.order.OrderOutcome;
import org.ragwortpitch.order.RoleOrder;
import org.ragwortpitch.order.StartOrder;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Guards against daemons that reach different control states from the same log, and against records that take
 * effect although a concurrent or earlier record invalidates them. Both come about when writers race, pause, lose their
 * lease or repeat an append.
 */
class ControlStateReducerTest {

    private static final DutyId FLEET = Duties.fleet(new PoolId("p"));

    private static final EndpointId ENDPOINT = new EndpointId("e");

    private final ControlStateReducer reducer = new ControlStateReducer();

    private long offset;

    private long sequence;

    private ApplyResult append(String writer, LogEntry entry) {
        return reducer.apply(new LogRecord(offset++, new Incarnation(writer), ++sequence, entry));
    }

    private void join(String writer, String instance) {
        assertEquals(ApplyResult.ACCEPTED, append(writer, memberJoined(instance, "peer-" + writer)));
    }

    private MemberJoined memberJoined(String instance, String peerAddress) {
        return new MemberJoined(new InstanceId(instance), new FailureDomain("f"), "c", peerAddress, offset);
    }

    private long claim(String writer, DutyId duty) {
        assertEquals(ApplyResult.ACCEPTED, append(writer, new DutyClaimed(duty)));
        return offset - 1;
    }

    private ApplyResult orderRole(String writer, long term, EndpointRole role, boolean checksFencing) {
        return append(writer, new OrderIntended(FLEET, term, new RoleOrder(ENDPOINT, role, checksFencing)));
    }

    private void evict(String writer, String target) {
        long renewedOffset =
                reducer.membership().find(new Incarnation(target)).orElseThrow().renewedOffset();
        assertEquals(ApplyResult.ACCEPTED, append(writer, new MemberGone(new Incarnation(target), renewedOffset)));
    }

    @Test
    void testRecordOfUnknownWriterIsRejected() {
        assertEquals(ApplyResult.NOT_A_MEMBER, append("a", new DutyClaimed(Duties.USAGE)));
    }

    @Test
    void testRepeatedSequenceIsRejected() {
        join("a", "i");
        LogRecord change = new LogRecord(
                offset++, new Incarnation("a"), 7, new ConfigurationChanged(-1, List.of(), List.of("x y # z"), "o"));
        assertEquals(ApplyResult.ACCEPTED, reducer.apply(change));
        LogRecord repeated = new LogRecord(offset++, change.writer(), 7, change.entry());
        assertEquals(ApplyResult.DUPLICATE, reducer.apply(repeated));
    }

    @Test
    void testLateJoinOfEvictedIncarnationIsRejected() {
        join("a", "i");
        join("b", "j");
        evict("b", "a");
        assertEquals(ApplyResult.DUPLICATE, append("a", memberJoined("i", "peer-a")));
    }

    @Test
    void testEvictionIsStaleAfterRenewal() {
        join("a", "i");
        join("b", "j");
        long renewedOffset =
                reducer.membership().find(new Incarnation("a")).orElseThrow().renewedOffset();
        append("a", new MemberRenewed(offset, false));
        assertEquals(ApplyResult.STALE, append("b", new MemberGone(new Incarnation("a"), renewedOffset)));
    }

    @Test
    void testJoinAtSameAddressReplacesPreviousMember() {
        append("a", memberJoined("i", "peer"));
        claim("a", Duties.USAGE);
        append("b", memberJoined("i", "peer"));
        assertTrue(reducer.membership().find(new Incarnation("a")).isEmpty());
        assertTrue(reducer.duties().find(Duties.USAGE).isEmpty());
    }

    @Test
    void testConcurrentConfigurationChangeIsStale() {
        join("a", "i");
        join("b", "j");
        ConfigurationChanged change = new ConfigurationChanged(-1, List.of(), List.of("failure-domain x # o"), "o");
        assertEquals(ApplyResult.ACCEPTED, append("a", change));
        assertEquals(ApplyResult.STALE, append("b", change));
        assertEquals(List.of("failure-domain x # o"), reducer.configuration().lines());
    }

    @Test
    void testOrderUnderLostDutyIsRejected() {
        join("a", "i");
        join("b", "j");
        long oldTerm = claim("a", FLEET);
        evict("b", "a");
        long term = claim("b", FLEET);
        assertEquals(ApplyResult.NOT_A_MEMBER, orderRole("a", oldTerm, EndpointRole.DECODE, true));
        assertEquals(ApplyResult.STALE, orderRole("b", oldTerm, EndpointRole.DECODE, true));
        assertEquals(ApplyResult.ACCEPTED, orderRole("b", term, EndpointRole.DECODE, true));
    }

    @Test
    void testPausedHolderIsFencedWhenEndpointChecksFencing() {
        join("a", "i");
        join("b", "j");
        long oldTerm = claim("a", FLEET);
        orderRole("a", oldTerm, EndpointRole.DECODE, true);
        evict("b", "a");
        long term = claim("b", FLEET);
        assertEquals(ApplyResult.ACCEPTED, orderRole("b", term, EndpointRole.PREFILL, true));
        assertEquals(1, reducer.orders().openOrders().size());
    }

    @Test
    void testPausedHolderBlocksOtherOrdersWhenEndpointDoesNotCheckFencing() {
        join("a", "i");
        join("b", "j");
        long oldTerm = claim("a", FLEET);
        orderRole("a", oldTerm, EndpointRole.DECODE, false);
        long intent = offset - 1;
        evict("b", "a");
        long term = claim("b", FLEET);
        assertEquals(ApplyResult.STALE, orderRole("b", term, EndpointRole.PREFILL, false));
        assertEquals(ApplyResult.ACCEPTED, orderRole("b", term, EndpointRole.DECODE, false));
        append("b", new OrderClosed(offset - 1, OrderOutcome.ACKNOWLEDGED));
        assertEquals(ApplyResult.STALE, orderRole("b", term, EndpointRole.PREFILL, false));
        assertEquals(ApplyResult.STALE, append("b", new OrderClosed(intent, OrderOutcome.NEVER_WRITTEN)));
        join("a2", "i");
        assertEquals(ApplyResult.ACCEPTED, append("a2", new OrderClosed(intent, OrderOutcome.NEVER_WRITTEN)));
        assertEquals(ApplyResult.ACCEPTED, orderRole("b", term, EndpointRole.PREFILL, false));
    }

    @Test
    void testOperationIsNotStartedTwiceUnlessItDidNotRun() {
        join("a", "i");
        join("b", "j");
        OperationStarted start = new OperationStarted(new AccountId("x"), new OperationId("o"), 1_000);
        assertEquals(ApplyResult.ACCEPTED, append("a", start));
        assertEquals(ApplyResult.STALE, append("b", start));
        OperationEnded notRun = new OperationEnded(start.account(), start.operation(), OperationOutcome.NOT_RUN);
        assertEquals(ApplyResult.STALE, append("b", notRun));
        assertEquals(ApplyResult.ACCEPTED, append("a", notRun));
        assertEquals(ApplyResult.ACCEPTED, append("b", start));
    }

    @Test
    void testWindowIsClosedAndReportedOnlyUnderCurrentTerm() {
        join("a", "i");
        join("b", "j");
        long oldTerm = claim("a", Duties.USAGE);
        append("a", new UsageRecorded(List.of(usage("r", 60_000))));
        evict("b", "a");
        long term = claim("b", Duties.USAGE);
        assertEquals(ApplyResult.STALE, append("b", new WindowClosed(60_000, oldTerm)));
        assertEquals(ApplyResult.ACCEPTED, append("b", new WindowClosed(60_000, term)));
        assertEquals(ApplyResult.STALE, append("b", new WindowReported(60_000, oldTerm)));
        assertEquals(ApplyResult.ACCEPTED, append("b", new WindowReported(60_000, term)));
        assertEquals(ApplyResult.STALE, append("b", new WindowReported(60_000, term)));
    }

    private static UsageEntry usage(String request, long window) {
        return new UsageEntry(new AccountId("x"), new RequestId(request), "m", window, 10, 0, 5);
    }

    /**
     * A reducer that starts from a checkpoint must reach the same state as one that applied the whole log.
     */
    @Property(tries = 300, seed = "12", shrinking = ShrinkingMode.OFF)
    void testReducerFromCheckpointReachesSameStateAsFullReplay(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LogRecord> log = new ArrayList<>();
        for (int index = 0; index < 300; index++) {
            Incarnation writer = new Incarnation("w" + random.nextInt(4) + "-" + random.nextInt(2));
            log.add(new LogRecord(index, writer, random.nextInt(1 + index), randomEntry(random, index)));
        }
        int checkpointOffset = random.nextInt(log.size());
        ControlStateReducer fullReducer = new ControlStateReducer();
        ControlStateReducer checkpointReducer = new ControlStateReducer();
        for (LogRecord record : log) {
            fullReducer.apply(record);
            if (record.offset() == checkpointOffset) {
                assertTrue(checkpointReducer.restore(fullReducer.checkpoint()));
                assertFalse(checkpointReducer.restore(fullReducer.checkpoint()));
            } else if (record.offset() > checkpointOffset) {
                checkpointReducer.apply(record);
            }
        }
        assertEquals(fullReducer.checkpoint(), checkpointReducer.checkpoint());
    }

    private static LogEntry randomEntry(SplittableRandom random, long index) {
        String name = "n" + random.nextInt(3);
        long earlierOffset = random.nextLong(index + 1);
        return switch (random.nextInt(13)) {
            case 0, 1 -> new MemberJoined(new InstanceId(name), new FailureDomain("f"), "c", "p" + index, index);
            case 2 -> new MemberRenewed(earlierOffset, random.nextBoolean());
            case 3 -> new MemberLeft();
            case 4 -> new MemberGone(new Incarnation("w" + random.nextInt(4) + "-0"), earlierOffset);
            case 5 -> new DutyClaimed(random.nextBoolean() ? Duties.USAGE : FLEET);
            case 6 -> new ConfigurationChanged(earlierOffset - 1, List.of(), List.of("pool " + name + " # o"), "o");
            case 7 -> new OperationStarted(new AccountId("x"), new OperationId(name), index * 200_000);
            case 8 -> new OperationEnded(
                    new AccountId("x"),
                    new OperationId(name),
                    new OperationOutcome(OperationOutcomeKind.ANSWERED, 200, "t", "b"));
            case 9 -> new UsageRecorded(List.of(usage("r" + random.nextInt(40), index * 10_000)));
            case 10 -> new WindowClosed(index * 10_000, earlierOffset);
            case 11 -> new OrderIntended(
                    FLEET, earlierOffset, new StartOrder(new PoolId("p"), new FailureDomain("f"), Supply.CHEAP));
            default -> new DutyReleased(Duties.USAGE, earlierOffset);
        };
    }
}
