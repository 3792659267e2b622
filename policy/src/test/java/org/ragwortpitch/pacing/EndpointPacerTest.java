package org.ragwortpitch.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;

class EndpointPacerTest {

    private static final InstanceId SELF = new InstanceId("front-1");

    private static final Optional<Collection<InstanceId>> ALONE = Optional.of(List.of(SELF));

    private final EndpointPacer pacer = new EndpointPacer(new EndpointId("i-1"));

    private int sentWithin(long fromMillis, long millis) {
        int sent = 0;
        for (long wallMillis = fromMillis; wallMillis < fromMillis + millis; wallMillis += 10) {
            if (pacer.isOpen(SELF, ALONE, wallMillis, OptionalDouble.empty())) {
                pacer.sent(wallMillis, OptionalDouble.empty());
                sent++;
            }
        }
        return sent;
    }

    @Test
    void testEndpointWithoutALimitIsAlwaysOpen() {
        assertTrue(pacer.isOpen(SELF, Optional.empty(), 0, OptionalDouble.empty()));
        assertEquals(100, sentWithin(0, 1_000));
    }

    @ParameterizedTest
    @CsvSource({"0.5, 10", "1, 20", "2, 40", "16, 320"})
    void testOneDaemonAloneUsesTheLimit(double perSecond, int expectedIn20Seconds) {
        pacer.responded(OptionalDouble.of(perSecond), 0, 10);
        assertEquals(expectedIn20Seconds, sentWithin(0, 20_000));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 1.1, 1.9, 2.1, 3, 7.7})
    void testLimitIsRoundedDownByLessThanASixth(double perSecond) {
        pacer.responded(OptionalDouble.of(perSecond), 0, 10);
        int sent = sentWithin(0, 400_000);
        assertTrue(sent <= 400 * perSecond + 1 && sent >= 400 * perSecond * 5 / 6, sent + " in 400 s");
    }

    @Test
    void testLimitOfZeroLeavesAFewRequestsThatTellWhenItEnds() {
        pacer.responded(OptionalDouble.of(0), 0, 10);
        assertEquals(5, sentWithin(0, 20_000));
    }

    @Test
    void testUnusedSlotsAreNotSavedUp() {
        pacer.responded(OptionalDouble.of(1), 0, 10);
        assertEquals(0, sentWithin(60_000, 0));
        assertEquals(1, sentWithin(60_000, 1_000));
    }

    @Test
    void testDaemonThatDoesNotKnowTheFleetSendsNothing() {
        pacer.responded(OptionalDouble.of(1), 0, 10);
        assertFalse(pacer.isOpen(SELF, Optional.empty(), 0, OptionalDouble.empty()));
    }

    @Test
    void testClockThatIsSetBackGivesNoSlotTwice() {
        pacer.responded(OptionalDouble.of(1), 0, 10);
        assertEquals(10, sentWithin(0, 10_000));
        assertEquals(5, sentWithin(5_000, 10_000));
    }

    @Test
    void testResponseWithoutALimitEndsItOnlyIfItsRequestWasSentLater() {
        pacer.responded(OptionalDouble.of(1), 0, 100);
        pacer.responded(OptionalDouble.empty(), 90, 200);
        assertEquals(OptionalDouble.of(1), pacer.limit());
        pacer.responded(OptionalDouble.empty(), 110, 210);
        assertEquals(OptionalDouble.empty(), pacer.limit());
    }

    @Test
    void testNewestReadingOfAnyDaemonHolds() {
        pacer.learn(new LimitReading(OptionalDouble.of(2), 100));
        assertEquals(OptionalDouble.of(2), pacer.limit());
        pacer.learn(new LimitReading(OptionalDouble.empty(), 90));
        assertEquals(OptionalDouble.of(2), pacer.limit());
        pacer.learn(new LimitReading(OptionalDouble.empty(), 110));
        assertEquals(OptionalDouble.empty(), pacer.limit());
        assertEquals(Optional.empty(), pacer.own());
        assertEquals(Optional.empty(), pacer.inDomain());
    }
}
