package org.ragwortpitch.edge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests how often a queued message is sent.
 */
class RepeatedMessagesTest {

    private final RepeatedMessages<String> messages = new RepeatedMessages<>(2);

    @Test
    void testMessageIsSentInEveryBatchOfOneRound() {
        messages.add("a");
        assertEquals(List.of("a"), messages.nextBatch(3));
        messages.add("b");
        assertEquals(List.of("a", "b"), messages.nextBatch(3));
        assertEquals(List.of("a", "b"), messages.nextBatch(3));
        assertEquals(List.of("b"), messages.nextBatch(3));
        assertEquals(List.of(), messages.nextBatch(3));
    }

    @Test
    void testOldestMessageIsDroppedBeyondTheCapacity() {
        messages.add("a");
        messages.add("b");
        messages.add("c");
        assertEquals(List.of("b", "c"), messages.nextBatch(1));
    }
}
