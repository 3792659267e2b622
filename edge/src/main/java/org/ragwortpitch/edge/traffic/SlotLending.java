package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.RepeatedMessages;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.wire.generated.GossipProtocol.LentSlot;

/**
 * Lends slots of cold endpoints that this daemon won't need to daemons of its failure domain, by gossip. Daemons that
 * lend slots of a pool themselves have no requests for it, so they borrow none. Confined to the traffic thread.
 */
final class SlotLending {

    /** Most loans in one datagram, which keeps it well below its size limit. */
    private static final int MAX_LOANS_PER_DATAGRAM = 64;

    /** Rounds of gossip that repeat a loan; tolerates one lost datagram. */
    private static final int ROUNDS = 2;

    /** Time for transit and for the corrected clocks of two daemons to differ, in milliseconds. */
    private static final long MARGIN_MILLIS = 100;

    /**
     * Time for which a daemon that has lent a slot counts as one that needs none, in milliseconds. With 10 s, one that
     * had just got requests again missed a fifth of the slots that another one lent in the test.
     */
    private static final long LENDER_MILLIS = 3_000;

    private final GossipContext context;
    private final RepeatedMessages<LentSlot> loans = new RepeatedMessages<>(MAX_LOANS_PER_DATAGRAM);
    private final Map<PoolId, Map<InstanceId, Long>> lenders = new HashMap<>();

    SlotLending(GossipContext context) {
        this.context = context;
    }

    /**
     * Lends the slots that are due, and returns the loans to tell direct peers of.
     */
    List<LentSlot> next() {
        int steps = ROUNDS * context.peers().directRound().stepCount();
        if (!context.endpoints().pacing().isOff()) {
            lendDue(steps * GossipRound.STEP_MILLIS + MARGIN_MILLIS);
        }
        return loans.nextBatch(steps);
    }

    private void lendDue(long leadMillis) {
        long nowMillis = context.clockMillis().getAsLong();
        Set<InstanceId> ready = context.peers().readyInDomain(nowMillis);
        Map<PoolId, Set<InstanceId>> borrowers = new HashMap<>();
        for (EndpointState state : context.endpoints().all()) {
            Set<InstanceId> candidates =
                    borrowers.computeIfAbsent(state.endpoint().pool(), pool -> without(ready, pool, nowMillis));
            if (!candidates.isEmpty()) {
                context.endpoints()
                        .pacing()
                        .lend(state, leadMillis, nowMillis)
                        .ifPresent(slot -> loans.add(LentSlot.newBuilder()
                                .setEndpoint(state.endpoint().id().value())
                                .setBornMillis(state.endpoint().startMillis())
                                .setSlot(slot)
                                .setBorrower(
                                        state.pacer().borrower(slot, candidates).value())
                                .build()));
            }
        }
    }

    private Set<InstanceId> without(Set<InstanceId> ready, PoolId pool, long nowMillis) {
        Map<InstanceId, Long> idle = lenders.getOrDefault(pool, Map.of());
        return ready.stream()
                .filter(peer -> !idle.containsKey(peer) || nowMillis - idle.get(peer) > LENDER_MILLIS)
                .collect(Collectors.toSet());
    }

    /**
     * Applies a loan of another daemon; one that names an endpoint which is not listed is ignored.
     */
    void receive(LentSlot loan, InstanceId lender, long nowMillis) {
        EndpointState state = context.endpoints().find(new EndpointId(loan.getEndpoint()));
        if (state == null || state.endpoint().startMillis() != loan.getBornMillis()) {
            return;
        }
        lenders.computeIfAbsent(state.endpoint().pool(), pool -> new HashMap<>())
                .put(lender, nowMillis);
        if (loan.getBorrower().equals(context.self().id().value())) {
            context.endpoints().pacing().borrow(state, loan.getSlot(), nowMillis);
        }
    }
}
