package org.ragwortpitch.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.SoftwareVersion;

class StreamOriginsTest {

    private static final SoftwareVersion VERSION = new SoftwareVersion("v1");

    private final StreamOrigins origins = new StreamOrigins();

    private static StreamOrigin origin(String attempt, long atMillis, long untilMillis) {
        return new StreamOrigin(StreamId.of(attempt), VERSION, atMillis, untilMillis);
    }

    @Test
    void testOwnAndToldStreamsAreKnown() {
        origins.began(origin("own", 0, 5_000));
        origins.learn(origin("told", 0, 5_000), 10);
        assertEquals(Optional.of(VERSION), origins.versionOf(StreamId.of("own"), 10));
        assertEquals(Optional.of(VERSION), origins.versionOf(StreamId.of("told"), 10));
        assertEquals(Optional.empty(), origins.versionOf(StreamId.of("other"), 10));
    }

    @Test
    void testOnlyOwnStreamsAreToldInTheDomainAndAllOutsideIt() {
        origins.began(origin("own", 0, 5_000));
        origins.learn(origin("told", 0, 5_000), 10);
        assertEquals(List.of(origin("own", 0, 5_000)), List.copyOf(origins.ownSince(0, 10)));
        assertEquals(2, origins.knownSince(0, 10).size());
        assertEquals(0, origins.knownSince(1, 10).size());
    }

    @Test
    void testStreamIsForgottenOnceItsCallerHasStoppedWaiting() {
        origins.began(origin("own", 0, 5_000));
        origins.learn(origin("told", 0, 5_000), 10);
        assertEquals(Optional.empty(), origins.versionOf(StreamId.of("own"), 6_001));
        assertEquals(0, origins.knownSince(0, 6_001).size());
        origins.learn(origin("late", 0, 5_000), 6_001);
        assertEquals(Optional.empty(), origins.versionOf(StreamId.of("late"), 6_001));
    }

    @Test
    void testStreamIsForgottenThoughItsCallerStatesALongTime() {
        origins.began(origin("own", 0, Long.MAX_VALUE / 2));
        assertEquals(Optional.empty(), origins.versionOf(StreamId.of("own"), 61_001));
    }

    @Test
    void testOldestStreamsAreDroppedBeyondTheLimit() {
        for (int stream = 0; stream <= StreamOrigins.MAX_STREAMS; stream++) {
            origins.began(origin("attempt " + stream, stream, 100_000));
        }
        assertEquals(Optional.empty(), origins.versionOf(StreamId.of("attempt 0"), 20_000));
        assertEquals(Optional.of(VERSION), origins.versionOf(StreamId.of("attempt 1"), 20_000));
    }
}
