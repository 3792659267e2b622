package org.ragwortpitch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.AccountId;

class AdmissionQueueTest {

    private static final long MAX_WAIT_MILLIS = 1_000;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>(new AdmissionBounds(4, 1_000));

    private void add(String item, int priority, long tokens, long arrivedMillis) {
        AccountId account = new AccountId(item.substring(0, 1));
        long latest = arrivedMillis + MAX_WAIT_MILLIS;
        queue.add(new WaitingRequest<>(item, account, 1, priority, tokens, 100, arrivedMillis, latest));
    }

    private String order(Map<String, Double> served, long nowMillis) {
        List<String> order = new ArrayList<>();
        queue.next(
                account -> served.getOrDefault(account.value(), 0.0),
                request -> {
                    order.add(request.item());
                    return false;
                },
                nowMillis);
        return String.join(" ", order);
    }

    /** Guards against an account whose many or early requests, or urgent ones, keep those of others waiting. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, 'a1 b1 a2 b2'",
        "150, 0, 0, 'b1 b2 a1 a2'",
        "50, 0, 0, 'b1 a1 b2 a2'",
        "0, 1, 100, 'b1 b2 a1 a2'",
        "0, 1, 500, 'a1 b1 a2 b2'",
        "0, 4, 200, 'b1 b2 a1 a2'",
        "0, 9, 999, 'a1 b1 a2 b2'"
    })
    void testOrderGoesByAgedPriorityThenByTokensPerAccount(
            double servedToA, int priorityOfA, long nowMillis, String expected) {
        add("a1", priorityOfA, 100, 0);
        add("a2", priorityOfA, 100, 0);
        add("b1", 0, 100, 0);
        add("b2", 0, 100, 0);
        assertEquals(expected, order(Map.of("a", servedToA), nowMillis));
    }

    /** Guards against waits that are of no use, which end at the deadline or behind too many others. */
    @ParameterizedTest
    @CsvSource({"0, 1, ''", "0, 0.09, 'a3'", "0, 0.04, 'a2 a3'", "999, 1, 'a2 a3'", "1000, 1, 'a1 a2 a3'"})
    void testRequestsThatCannotStartInTimeAreRemoved(long nowMillis, double tokensPerMilli, String expected) {
        add("a1", 0, 100, 0);
        add("a2", 0, 100, 0);
        add("a3", 0, 100, 0);
        List<String> late = queue.removeLate(account -> 0, OptionalDouble.of(tokensPerMilli), nowMillis).stream()
                .map(WaitingRequest::item)
                .toList();
        assertEquals(expected, String.join(" ", late));
        assertEquals(List.of(), queue.removeLate(account -> 0, OptionalDouble.empty(), 0));
    }

    /** Guards against memory without bound, and against one account that fills the queue and keeps others out. */
    @Test
    void testExcessIsTakenFromTheAccountWithTheMostWaiting() {
        for (int index = 1; index <= 5; index++) {
            add("a" + index, index == 2 ? 1 : 0, 100, index);
        }
        add("b1", 0, 300, 6);
        assertEquals(
                List.of("a2", "a5"),
                queue.removeExcess(6).stream().map(WaitingRequest::item).toList());
        assertEquals(4, queue.size());
        assertEquals(400, queue.bytes());
        queue.add(new WaitingRequest<>("c1", new AccountId("c"), 1, 0, 1, 900, 7, 8));
        assertEquals(
                List.of("c1"),
                queue.removeExcess(7).stream().map(WaitingRequest::item).toList());
    }

    /** Guards against requests that are served after their callers have left, or twice. */
    @Test
    void testRemovedRequestIsNotServed() {
        add("a1", 0, 100, 0);
        add("a2", 0, 100, 0);
        queue.remove("a1");
        assertEquals(Optional.empty(), queue.remove("a1"));
        assertEquals(
                "a2", queue.next(account -> 0, request -> true, 0).orElseThrow().item());
        assertEquals(Optional.empty(), queue.next(account -> 0, request -> true, 0));
        assertEquals(0, queue.bytes());
    }
}
