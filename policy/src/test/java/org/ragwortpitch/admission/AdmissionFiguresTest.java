package org.ragwortpitch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.PeerLoad;

/**
 * Tests the figures that admission goes by: room, expected output, served tokens, rate of service and Retry-After.
 */
class AdmissionFiguresTest {

    private static final AccountId ACCOUNT = new AccountId("a");

    private static final InstanceId PEER = new InstanceId("front-2");

    /** Guards against requests on engines whose slots or KV cache are taken, also by other daemons. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, 1000, true",
        "0, 0, 0, 5000, true",
        "1, 500, 0, 500, true",
        "1, 500, 0, 501, false",
        "1, 300, 300, 500, false",
        "1, 500, 0, 5000, false",
        "4, 4, 0, 1, false",
        "1, 1, 3, 1, false"
    })
    void testRequestFitsWhereSlotsAndKvCacheAreFree(
            int own, long ownTokens, int peerRequests, long tokens, boolean fits) {
        Endpoint endpoint = new Endpoint(
                new EndpointId("e"),
                new PoolId("p"),
                "10.0.0.1:80",
                new FailureDomain("d"),
                4,
                false,
                EndpointRole.DECODE,
                0,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
        EngineState engine = new EngineState(endpoint, new EngineSpec(4, 1_000, 1, 1, 1, 1));
        for (int request = 0; request < own; request++) {
            engine.requestStarted(ownTokens / own, 0);
        }
        engine.updatePeerLoad(PEER, new PeerLoad(peerRequests, peerRequests, 0));
        assertEquals(fits, EngineRoom.fits(engine, tokens));
    }

    /** Guards against hints of callers that are absurd or above the limit of their own request. */
    @ParameterizedTest
    @CsvSource({"'', 100", "40, 40", "' 40 ', 40", "400, 100", "0, 100", "-5, 100", "1e9, 100", "12345678901, 100"})
    void testHintCountsUpToTheOutputLimit(String hint, int expected) {
        assertEquals(expected, ExpectedOutput.tokens(hint, 100));
        assertEquals(100, ExpectedOutput.tokens(null, 100));
    }

    /**
     * Guards against a daemon that starts, or was cut off, and takes old totals of others for tokens served just now.
     */
    @ParameterizedTest
    @CsvSource({"200, 990", "10000, 632", "100000, 100", "1000000, 10"})
    void testTokensOfACutOffPeerCountAsServedOverTheTimeOfTheCut(long cutMillis, long expected) {
        ServedTokens served = new ServedTokens();
        served.recordPeer(PEER, 1, ACCOUNT, 1_000_000_000, 0);
        assertEquals(0, served.recent(ACCOUNT, 0), "first total of an incarnation");
        assertEquals(1_000, served.recordPeer(PEER, 1, ACCOUNT, 1_000_001_000, cutMillis));
        assertEquals(expected, served.recent(ACCOUNT, cutMillis), 1);
        served.recordPeer(PEER, 2, ACCOUNT, 5, cutMillis);
        assertEquals(expected, served.recent(ACCOUNT, cutMillis), 1, "restart of the peer");
        served.recordPeer(PEER, 2, ACCOUNT, -9_000, cutMillis);
        assertEquals(0, served.recent(ACCOUNT, cutMillis), "total that falls");
    }

    /** Guards against forecasts from too few or old requests. */
    @Test
    void testRateIsUnknownWithoutSeveralRecentRequests() {
        ServiceRate rate = new ServiceRate();
        for (int request = 0; request < 5; request++) {
            assertEquals(OptionalDouble.empty(), rate.tokensPerMilli(1_000 * request));
            rate.record(800, 1_000 * request);
        }
        assertEquals(1, rate.tokensPerMilli(4_000).orElseThrow());
        assertEquals(OptionalDouble.empty(), rate.tokensPerMilli(4_001));
    }

    /** Guards against callers that come back all at once, in another order, or at a time that never comes. */
    @ParameterizedTest
    @CsvSource({"1, 400", "78, 400", "3, 2000"})
    void testRefusedCallersAreSpreadInOrder(int accounts, int requests) {
        RetrySchedule schedule = new RetrySchedule();
        Map<Integer, Long> previous = new HashMap<>();
        Map<Long, Integer> callersBySecond = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            int account = request % accounts;
            long millis =
                    schedule.retryAfterMillis(new AccountId("a" + account), 1_700, OptionalDouble.of(50), 1_000_000);
            assertTrue(millis >= Math.max(400, previous.getOrDefault(account, 0L)), "order: " + millis);
            assertTrue(millis <= 30_000, "Retry-After: " + millis);
            previous.put(account, millis);
            callersBySecond.merge(millis / 1_000, 1, Integer::sum);
        }
        int most =
                callersBySecond.values().stream().mapToInt(count -> count).max().orElseThrow();
        assertTrue(most <= 200, most + " callers come back in the same second");
    }

    /** Guards against callers that retry at once and often, and so delay those of other accounts. */
    @Test
    void testEarlyRetriesDelayTheirOwnAccountOnly() {
        RetrySchedule schedule = new RetrySchedule();
        long own = 0;
        for (int retry = 0; retry < 1_000; retry++) {
            own = schedule.retryAfterMillis(ACCOUNT, 1_700, OptionalDouble.empty(), retry);
        }
        long other = schedule.retryAfterMillis(new AccountId("b"), 1_700, OptionalDouble.empty(), 1_000);
        assertTrue(own > 5_000, "of the account: " + own);
        assertTrue(other <= 500, "of the other one: " + other);
    }
}
