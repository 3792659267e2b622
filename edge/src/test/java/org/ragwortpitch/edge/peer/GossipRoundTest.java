package org.ragwortpitch.edge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * Tests that the rate at which a daemon sends doesn't grow with the fleet, and that each round reaches every daemon.
 */
class GossipRoundTest {

    /** Datagrams a second that the slowest link of the users' largest fleets can carry in addition to its traffic. */
    private static final int MAX_DATAGRAMS_PER_SECOND = 160;

    private final GossipRound round = new GossipRound(200, 150);

    private static List<Daemon> daemons(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Daemon(new InstanceId("d" + index), 1, new FailureDomain("a"), "", ""))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 67, 77, 299, 1399})
    void testEachDaemonIsSentToOnceInARound(int count) {
        round.apply(daemons(count));
        List<Daemon> sent = new ArrayList<>();
        for (int step = 0; step < round.stepCount(); step++) {
            sent.addAll(round.nextBatch());
        }
        assertEquals(count, sent.size());
        assertTrue(sent.containsAll(daemons(count)));
        assertTrue(
                count * 1_000 / round.durationMillis() <= MAX_DATAGRAMS_PER_SECOND,
                "a round lasts " + round.durationMillis());
    }

    @Test
    void testBatchIsEmptyWithoutOtherDaemons() {
        assertEquals(List.of(), round.nextBatch());
        assertEquals(200, round.durationMillis());
    }
}
