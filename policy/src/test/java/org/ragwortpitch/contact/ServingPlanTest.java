package org.ragwortpitch.contact;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.InstanceId;

/**
 * Tests who serves a request, and which daemon takes it.
 */
class ServingPlanTest {

    @ParameterizedTest
    @CsvSource({
        "false, false, true, HERE",
        "false, true, true, HERE",
        "false, false, false, HERE",
        "true, false, true, BY_PEER",
        "true, false, false, NOBODY",
        "true, true, true, NOBODY"
    })
    void testPassedOnRequestsAreNotPassedOnAgain(
            boolean contactLost, boolean passedOn, boolean peerInContact, ServingPlan expected) {
        assertEquals(expected, ServingPlan.of(contactLost, passedOn, peerInContact));
    }

    private static ProxyPeer peer(String id, boolean sameDomain, int passed) {
        return new ProxyPeer(new InstanceId(id), id, sameDomain, passed);
    }

    @Test
    void testPeerOfTheSameDomainIsPreferredUntilItHandlesManyMore() {
        ProxyPeer far = peer("far", false, 0);
        assertEquals(Optional.of("near"), address(List.of(peer("near", true, 4), far)));
        assertEquals(Optional.of("far"), address(List.of(peer("near", true, 5), far)));
        assertEquals(Optional.empty(), address(List.of()));
    }

    private static Optional<String> address(List<ProxyPeer> peers) {
        return ProxyPeer.choose(peers, 1).map(ProxyPeer::address);
    }

    @Test
    void testRequestsSpreadOverEqualPeers() {
        List<ProxyPeer> peers = List.of(peer("a", true, 0), peer("b", true, 0), peer("c", true, 0));
        Map<String, Integer> chosen = new HashMap<>();
        for (int seed = 0; seed < 900; seed++) {
            chosen.merge(ProxyPeer.choose(peers, seed).orElseThrow().address(), 1, Integer::sum);
        }
        assertEquals(3, chosen.size());
        chosen.forEach((peer, count) -> assertEquals(300, count, 100, peer));
    }
}
