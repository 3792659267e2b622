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
 * Tests that what a daemon sends doesn't grow with the fleet, and that nobody is left out.
 */
class GossipRoundTest {

    /** The datagrams of a second that the slowest link of the users' grown fleets bears beside its traffic. */
    private static final int MOST_A_SECOND = 160;

    private final GossipRound round = new GossipRound(200, 150);

    private static List<Daemon> daemons(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Daemon(new InstanceId("d" + index), 1, new FailureDomain("a"), "", ""))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 67, 77, 299, 1399})
    void testEachDaemonIsToldOnceInARound(int count) {
        round.apply(daemons(count));
        List<Daemon> told = new ArrayList<>();
        for (int step = 0; step < round.steps(); step++) {
            told.addAll(round.step());
        }
        assertEquals(count, told.size());
        assertTrue(told.containsAll(daemons(count)));
        assertTrue(count * 1_000 / round.millis() <= MOST_A_SECOND, "a round lasts " + round.millis());
    }

    @Test
    void testNobodyIsToldWhereNobodyElseIsListed() {
        assertEquals(List.of(), round.step());
        assertEquals(200, round.millis());
    }
}
