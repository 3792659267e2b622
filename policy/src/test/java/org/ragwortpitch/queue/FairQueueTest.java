package org.ragwortpitch.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.AccountId;

/**
 * Tests that client accounts are served in proportion to their weights and that the bounds hold.
 */
class FairQueueTest {

    private static final QueueBounds BOUNDS = new QueueBounds(1_000, 600);

    private static QueuedRequest<String> queued(String account, String item, long weight, long cost) {
        return new QueuedRequest<>(item, new AccountId(account), weight, cost, 5, 1_000);
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 100, 100", "3, 1, 100, 100", "1, 1, 400, 100", "2, 1, 50, 300"})
    void testTokensAreServedInProportionToWeights(
            long firstWeight, long secondWeight, long firstCost, long secondCost) {
        FairQueue<String> queue = new FairQueue<>(BOUNDS);
        for (int index = 0; index < 400; index++) {
            queue.add(queued("a", "a" + index, firstWeight, firstCost));
            queue.add(queued("b", "b" + index, secondWeight, secondCost));
        }
        Map<AccountId, Long> served = new HashMap<>();
        for (int turn = 0; turn < 200; turn++) {
            QueuedRequest<String> next = queue.next(item -> true).orElseThrow();
            served.merge(next.account(), next.costTokens(), Long::sum);
        }
        double first = (double) served.get(new AccountId("a")) / firstWeight;
        double second = (double) served.get(new AccountId("b")) / secondWeight;
        assertEquals(1, first / second, 0.1);
    }

    @Test
    void testIdleAccountGainsNoCredit() {
        FairQueue<String> queue = new FairQueue<>(BOUNDS);
        for (int index = 0; index < 100; index++) {
            queue.add(queued("busy", "x" + index, 1, 100));
        }
        for (int turn = 0; turn < 50; turn++) {
            queue.next(item -> true);
        }
        for (int index = 0; index < 40; index++) {
            queue.add(queued("late", "y" + index, 1, 100));
        }
        int late = 0;
        for (int turn = 0; turn < 40; turn++) {
            late += queue.next(item -> true).orElseThrow().item().startsWith("y") ? 1 : 0;
        }
        assertEquals(20, late, 1);
    }

    @Test
    void testFullQueueDropsFromTheMostBackloggedAccount() {
        FairQueue<String> queue = new FairQueue<>(new QueueBounds(10, 10));
        for (int index = 0; index < 9; index++) {
            queue.add(queued("greedy", "g" + index, 1, 100));
        }
        assertTrue(queue.add(queued("modest", "m0", 1, 100)).isEmpty());
        List<QueuedRequest<String>> dropped = queue.add(queued("modest", "m1", 1, 100));
        assertEquals("g8", dropped.get(0).item());
        assertEquals(10, queue.size());
    }

    @Test
    void testUrgentRequestsAreServedFirstWithinTheirAccountOnly() {
        FairQueue<String> queue = new FairQueue<>(BOUNDS);
        queue.add(queued("b", "b0", 1, 100));
        queue.add(queued("a", "a0", 1, 100));
        queue.add(new QueuedRequest<>("a1", new AccountId("a"), 1, 100, 0, 1_000));
        assertEquals("b0", queue.next(item -> true).orElseThrow().item());
        assertEquals("a1", queue.next(item -> true).orElseThrow().item());
    }

    @Test
    void testExpiredAndRemovedRequestsLeaveTheQueue() {
        FairQueue<String> queue = new FairQueue<>(BOUNDS);
        queue.add(queued("a", "a0", 1, 100));
        queue.add(queued("a", "a1", 1, 100));
        assertTrue(queue.remove("a0"));
        assertTrue(queue.expire(999).isEmpty());
        assertEquals(1, queue.expire(1_000).size());
        assertEquals(0, queue.costTokens());
    }
}
