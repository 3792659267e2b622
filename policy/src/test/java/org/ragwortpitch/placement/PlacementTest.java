package org.ragwortpitch.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Tests admission by queueing delay, as a queue grows while engines are missing.
 */
class PlacementTest {

    @ParameterizedTest
    @CsvSource({
        "100, 0, 400, 0, true",
        "390, 290, 400, 0, true",
        "410, 310, 400, 0, false",
        "350, 250, 400, 2, false",
        "300, 200, 400, 2, true",
        "900, 300, 600, 2, true",
        "900, 310, 600, 2, false"
    })
    void testRequestIsAdmittedWhileItsQueueingDelayIsShort(
            double firstMillis, double waitMillis, int targetMillis, int priority, boolean admitted) {
        EngineState engine = EngineChooserTest.engine("d", EndpointRole.DECODE, new FailureDomain("a"));
        Placement placement = new Placement(engine, Optional.empty(), firstMillis, waitMillis);
        assertEquals(admitted, placement.isAdmissible(targetMillis, priority));
    }
}
