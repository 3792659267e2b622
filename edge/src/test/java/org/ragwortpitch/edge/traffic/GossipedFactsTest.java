package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.placement.EngineSpeed;
import org.ragwortpitch.placement.QueueWatch;

/**
 * Tests that facts which one daemon learns reach all, also those that start later.
 */
class GossipedFactsTest extends GossipingDaemons {

    /** Guards against daemons that are cut off from the store and keep using an evacuated domain. */
    @Test
    void testEvacuationReachesAllDaemonsAndNewOnes() {
        EvacuationOrder order = new EvacuationOrder(new FailureDomain("a"), new StorePosition(1, 3), true);
        members().get("a2").endpoints().apply(Evacuations.NONE.with(order), "store", nowMillis());
        members().put("b2", new Member("b2"));
        advance(4 * SECOND_MILLIS);
        members()
                .forEach((name, member) -> assertEquals(
                        List.of(order), member.endpoints().evacuations().orders(), name));
        assertEquals(List.of(), members().get("a1").endpoints().usable(POOL, EndpointScope.ALL, nowMillis()));
    }

    /** Guards against a directory that names a killed daemon, as each hop of gossip counts its age anew. */
    @Test
    void testAgeOfAKilledDaemonCountsFromItsOwnLastGossip() {
        InstanceId killed = members().remove("a2").self().id();
        for (long millis = nowMillis(); nowMillis() < millis + 5 * SECOND_MILLIS; advance(GossipRound.STEP_MILLIS)) {
            assertTrue(members().get("b1").peers().ageMillis(killed, nowMillis()) >= nowMillis() - millis);
        }
    }

    /** Guards against daemons, new ones too, that learn an engine's speed from their own few requests alone. */
    @Test
    void testEngineSpeedIsKnownToAllDaemonsAndToNewOnes() {
        for (String name : List.of("a1", "a1", "a1", "a2", "a2", "a2")) {
            QueueWatch queue = members().get(name).engine().watchQueue();
            queue.end();
            members().get(name).endpoints().speeds().recordPrefill(queue, 3_000, 12_000, 350, nowMillis());
        }
        advance(SECOND_MILLIS);
        members().remove("b2");
        Member started = new Member("b2");
        members().put("b2", started);
        members().values().forEach(Member::applyListing);
        advance(4 * SECOND_MILLIS);
        for (Member member : members().values()) {
            member.endpoints().refreshSpeeds(nowMillis());
            EngineSpeed speed = member.engine().speed();
            assertEquals(
                    2,
                    speed.prefillTimeRelativeTo(EngineSpeed.NOMINAL),
                    0.4,
                    member.self().toString());
        }
    }

    /** Guards against a member that stays in the duties' group as only a daemon knew of its stop that stops as well. */
    @Test
    void testDepartedMemberIsKnownToAllDaemonsAndToNewOnes() {
        members().get("a2").gossiper().setDepartedMembers(List.of("a2-1"));
        advance(SECOND_MILLIS);
        members().remove("a2");
        members().values().forEach(member -> assertEquals(Set.of("a2-1"), member.departed()));
        Member started = new Member("b2");
        members().put("b2", started);
        started.applyListing();
        advance(4 * SECOND_MILLIS);
        assertEquals(Set.of("a2-1"), started.departed());
    }
}
