package org.ragwortpitch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.placement.EngineEstimate;
import org.ragwortpitch.placement.EngineSpeed;

/**
 * Tests how many engines a demand needs through an idle start, a cold start and a lower steady demand.
 */
class EngineDemandEstimatorTest {

    private static final PoolDemand NONE = new PoolDemand(0, 0);

    private final EngineDemandEstimator need = new EngineDemandEstimator(new EngineCount(18, 0));

    @Test
    void testFirstCountHoldsUntilDemandIsSeen() {
        assertEquals(new EngineCount(18, 3), need.count(NONE, 3, 0));
        assertEquals(new EngineCount(18, 3), need.count(NONE, 3, 60_000));
    }

    @Test
    void testLargeFleetStartsWithMoreDecodeEnginesThanFailureDomains() {
        EngineDemandEstimator large = new EngineDemandEstimator(new EngineCount(58, 10));
        assertEquals(new EngineCount(58, 10), large.count(NONE, 3, 0));
        assertEquals(
                10,
                large.count(new PoolDemand(450, 100), 3, 1).decodeEngines(),
                "the initial decode engines remain when demand starts");
    }

    @Test
    void testHigherDemandScalesUpAtOnce() {
        assertTrue(need.count(new PoolDemand(450, 100), 3, 0).prefillEngines() > 18);
        assertEquals(5, need.count(new PoolDemand(450, 100), 3, 1).decodeEngines());
    }

    @Test
    void testLowerDemandScalesDownAfterADelay() {
        need.count(new PoolDemand(100, 10), 3, 0);
        assertEquals(18, need.count(new PoolDemand(100, 10), 3, 9_000).prefillEngines());
        assertEquals(7, need.count(new PoolDemand(100, 10), 3, 9_001).prefillEngines());
    }

    /** Guards against a plan for engines of the nominal speed in a pool that was measured to have faster ones. */
    @ParameterizedTest
    @CsvSource({"37, 50, 50, 31", "93, 50, 50, 19", "93, 20, 50, 13", "31.5, 58, 50, 31", "21.8, 85, 80, 31"})
    void testEnginesAreCountedByTheirLearnedSpeed(double rate, double setupMillis, double firstMillis, int expected) {
        double engine = EngineEstimate.throughputTokensPerMilli(new EngineSpeed(rate, setupMillis, firstMillis, 5.5));
        EngineDemandEstimator small = new EngineDemandEstimator(new EngineCount(1, 0));
        assertEquals(
                expected, small.count(new PoolDemand(450, 100, engine), 3, 0).prefillEngines());
    }

    @Test
    void testMeterAddsTotalsOfPeers() {
        DemandMeter meter = new DemandMeter();
        InstanceId peer = new InstanceId("peer");
        meter.sample(0);
        meter.updatePeerTotal(peer, 1, 5_000);
        meter.addPrefillTokens(1_000);
        meter.updatePeerTotal(peer, 1, 6_000);
        meter.updatePeerTotal(peer, 2, 500);
        assertEquals(2, meter.sample(1_000), "the first total of an incarnation is a baseline and adds nothing");
    }
}
