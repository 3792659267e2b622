package org.ragwortpitch.edge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests how often news are told.
 */
class RetoldTest {

    private final Retold<String> news = new Retold<>(2);

    @Test
    void testEachIsToldInEveryStepOfOneRound() {
        news.add("a");
        assertEquals(List.of("a"), news.next(3));
        news.add("b");
        assertEquals(List.of("a", "b"), news.next(3));
        assertEquals(List.of("a", "b"), news.next(3));
        assertEquals(List.of("b"), news.next(3));
        assertEquals(List.of(), news.next(3));
    }

    @Test
    void testOldestGoesWhereThereAreTooMany() {
        news.add("a");
        news.add("b");
        news.add("c");
        assertEquals(List.of("b", "c"), news.next(1));
    }
}
