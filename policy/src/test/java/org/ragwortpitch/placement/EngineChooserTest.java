package org.ragwortpitch.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.overflow.RequestDomains;

/**
 * Tests the choice of prefill and decode engines for many subjects, each with a long shared prefix and a short suffix
 * per request.
 */
class EngineChooserTest {

    private static final FailureDomain LOCAL = new FailureDomain("here");

    private static final FailureDomain REMOTE = new FailureDomain("there");

    private final EngineChooser chooser = new EngineChooser(LOCAL);

    static EngineState engine(String id, EndpointRole role, FailureDomain domain) {
        Endpoint endpoint = new Endpoint(
                new EndpointId(id),
                new PoolId("p"),
                "10.0.0.1:80",
                domain,
                64,
                false,
                role,
                0,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
        return new EngineState(endpoint, new EngineSpec(64, 500_000, 163_840, 1_700_000, 5_000, 3_000));
    }

    private static List<EngineState> engines(int prefillEngines) {
        List<EngineState> engines = new ArrayList<>();
        engines.add(engine("d0", EndpointRole.DECODE, LOCAL));
        engines.add(engine("d1", EndpointRole.DECODE, LOCAL));
        for (int index = 0; index < prefillEngines; index++) {
            engines.add(engine("r" + index, EndpointRole.PREFILL, index % 2 == 0 ? LOCAL : REMOTE));
        }
        return engines;
    }

    private static Generation prompt(long subject, long suffixId) {
        return new Generation(17_000, 100, List.of(new PrefixBlock(subject, 13_300), new PrefixBlock(suffixId, 3_700)));
    }

    private String prefillEngine(Generation generation, List<EngineState> engines) {
        Placement placement = chooser.choose(generation, engines).orElseThrow();
        return placement
                .prefillEngine()
                .map(engine -> engine.endpoint().id().value())
                .orElse("-");
    }

    @Test
    void testLongPromptIsPrefilledOnASeparateEngine() {
        assertNotEquals("-", prefillEngine(prompt(1, 2), engines(4)));
    }

    @Test
    void testEngineWithCachedPrefixIsPreferred() {
        List<EngineState> engines = engines(6);
        engines.get(5).cache().sent(prompt(7, 8).parts());
        assertEquals("r3", prefillEngine(prompt(7, 9), engines));
    }

    @Test
    void testDaemonsChooseTheSamePrefillEngineForASubject() {
        List<EngineState> engines = engines(6);
        EngineChooser other = new EngineChooser(REMOTE);
        int same = 0;
        for (long subject = 1; subject <= 200; subject++) {
            Placement remoteChoice = other.choose(prompt(subject, 0), engines).orElseThrow();
            same += prefillEngine(prompt(subject, 0), engines)
                            .equals(remoteChoice
                                    .prefillEngine()
                                    .orElseThrow()
                                    .endpoint()
                                    .id()
                                    .value())
                    ? 1
                    : 0;
        }
        assertTrue(same >= 180, same + " of 200 subjects");
    }

    @Test
    void testSubjectsAreSpreadOverPrefillEngines() {
        List<EngineState> engines = engines(8);
        Map<String, Integer> subjects = new HashMap<>();
        for (long subject = 1; subject <= 800; subject++) {
            subjects.merge(prefillEngine(prompt(subject, 0), engines), 1, Integer::sum);
        }
        assertEquals(8, subjects.size());
        assertTrue(subjects.values().stream().allMatch(count -> count < 200), subjects.toString());
    }

    @Test
    void testColdEngineIsPreferredOverABusyOneWithCachedPrefix() {
        List<EngineState> engines = engines(2);
        engines.get(2).cache().sent(prompt(7, 8).parts());
        engines.get(2).requestStarted(100_000, 100_000);
        assertEquals("r1", prefillEngine(prompt(7, 9), engines));
    }

    @Test
    void testSaturatedDecodeEngineIsAvoided() {
        List<EngineState> engines = engines(2);
        for (int index = 0; index < 60; index++) {
            engines.get(0).requestStarted(8_000, 0);
        }
        Placement placement = chooser.choose(prompt(1, 2), engines).orElseThrow();
        assertEquals("d1", placement.decodeEngine().endpoint().id().value());
    }

    @Test
    void testSlowPrefillEngineIsAvoidedOnceMeasured() {
        List<EngineState> engines = engines(2);
        String preferred = prefillEngine(prompt(5, 6), engines);
        EngineState slow = engines.stream()
                .filter(engine -> engine.endpoint().id().value().equals(preferred))
                .findFirst()
                .orElseThrow();
        EngineSpeeds speeds = new EngineSpeeds();
        for (int read = 0; read < 10; read++) {
            QueueWatch queue = slow.watchQueue();
            queue.end();
            speeds.recordPrefill(queue, 17_000, 17_000, 3 * EngineEstimate.prefillMillis(slow, prompt(5, 6)), read);
        }
        assertNotEquals(preferred, prefillEngine(prompt(5, 6), engines));
        assertTrue(slow.slowness() <= 8);
    }

    @Test
    void testNoPlacementWithoutDecodeEngines() {
        List<EngineState> prefillEngines = engines(3).subList(2, 5);
        assertTrue(chooser.choose(prompt(1, 2), prefillEngines).isEmpty());
    }

    @Test
    void testPeerLoadIsReplacedAndRemoved() {
        EngineState engine = engine("e", EndpointRole.DECODE, LOCAL);
        var peer = new org.ragwortpitch.identity.InstanceId("x");
        engine.updatePeerLoad(peer, new PeerLoad(3, 300, 30));
        engine.updatePeerLoad(peer, new PeerLoad(2, 200, 20));
        assertEquals(2, engine.totalRunning());
        assertEquals(200, engine.totalKvCacheTokens());
        engine.updatePeerLoad(peer, new PeerLoad(0, 0, 0));
        assertEquals(0, engine.totalRunning() + engine.totalKvCacheTokens() + engine.totalPrefillTokens());
    }

    private static final FailureDomain FULL = new FailureDomain("full");

    /** Queue of a decode engine that leaves prompts to the prefill engines. */
    private static final long BUSY_TOKENS = 200_000;

    private static final Generation PROMPT = new Generation(4_000, 100, List.of());

    /** One decode and one prefill engine in the own domain and two others, with equal queues in the others. */
    private static List<EngineState> engines(long queuedHere, long queuedThere) {
        List<EngineState> engines = new ArrayList<>();
        for (FailureDomain domain : List.of(LOCAL, REMOTE, FULL)) {
            EngineState decode = engine("d-" + domain, EndpointRole.DECODE, domain);
            decode.requestStarted(0, BUSY_TOKENS);
            engines.add(decode);
            EngineState prefill = engine("r-" + domain, EndpointRole.PREFILL, domain);
            prefill.requestStarted(0, domain.equals(LOCAL) ? queuedHere : queuedThere);
            engines.add(prefill);
        }
        return engines;
    }

    /**
     * Cases: tokens queued here and elsewhere, whether the hash selects the request, and the domains of its engines.
     * The target of 1,000 ms is met comfortably behind 16,000 tokens, still met behind 18,400 and likely missed behind
     * 22,000.
     * Guards against requests that leave a domain which serves them in time, and against those that stay to miss their
     * target.
     */
    @ParameterizedTest
    @CsvSource({
        "5000, 0, false, here, here",
        "5000, 0, true, here, here",
        "16000, 0, true, here, here",
        "18400, 0, false, here, here",
        "18400, 0, true, there, there",
        "22000, 0, true, there, there",
        "22000, 22000, true, here, here",
        "60000, 0, false, there, here",
        "60000, 0, true, there, there",
    })
    void testRequestLeavesAFullDomain(long here, long there, boolean selected, String prefill, String decode) {
        RequestDomains domains =
                new RequestDomains(true, selected ? Optional.of(REMOTE) : Optional.empty(), Set.of(FULL));
        List<EngineState> engines = engines(here, there);
        Placement placement = chooser.choose(PROMPT, engines, 1_000, domains).orElseThrow();
        assertEquals(decode, placement.decodeEngine().endpoint().domain().value());
        assertEquals(prefill, prefillDomain(engines, domains).value());
    }

    /**
     * Guards against refusals and slower placements where the own domain lacks a role.
     */
    @ParameterizedTest
    @EnumSource(
            value = EndpointRole.class,
            names = {"DECODE", "PREFILL"})
    void testPreferenceKeepsPlacementWhereTheDomainLacksARole(EndpointRole role) {
        List<EngineState> engines = engines(0, 0);
        engines.removeIf(engine ->
                engine.endpoint().role() == role && !engine.endpoint().domain().equals(REMOTE));
        Placement before = chooser.choose(PROMPT, engines, 1_000).orElseThrow();
        RequestDomains domains = new RequestDomains(true, Optional.empty(), Set.of());
        Placement now = chooser.choose(PROMPT, engines, 1_000, domains).orElseThrow();
        assertEquals(before, now);
    }

    /**
     * Guards against a preference that keeps a request in a domain whose decode engine is saturated.
     */
    @Test
    void testRequestLeavesASaturatedDecodeEngine() {
        List<EngineState> engines = engines(0, 0);
        engines.get(0).requestStarted(490_000, 0);
        RequestDomains domains = new RequestDomains(true, Optional.empty(), Set.of());
        Placement placement = chooser.choose(PROMPT, engines, 1_000, domains).orElseThrow();
        assertNotEquals(LOCAL, placement.decodeEngine().endpoint().domain());
    }

    /**
     * Guards against requests of a domain with room that add to the queue of a full one.
     */
    @Test
    void testFullDomainIsAvoidedByOthers() {
        List<EngineState> engines = engines(12_000, 12_000);
        engines.removeIf(engine -> engine.endpoint().domain().equals(REMOTE));
        engines.get(3).prefillEnded(12_000);
        assertNotEquals(LOCAL, prefillDomain(engines, RequestDomains.ANY));
        assertEquals(LOCAL, prefillDomain(engines, new RequestDomains(false, Optional.empty(), Set.of(FULL))));
    }

    private FailureDomain prefillDomain(List<EngineState> engines, RequestDomains domains) {
        Placement placement = chooser.choose(PROMPT, engines, 1_000, domains).orElseThrow();
        return placement.prefillEngine().orElseThrow().endpoint().domain();
    }
}
