package org.ragwortpitch.edge.traffic;

import java.util.Collection;
import java.util.List;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.wire.generated.GossipProtocol.DomainEvacuation;

/**
 * Translates evacuations of failure domains to and from gossip.
 */
final class EvacuationCodec {

    /** Most orders in a datagram, the newest of them; deployments have 3 to 5 failure domains. */
    private static final int MAX_ORDERS = 32;

    private EvacuationCodec() {}

    static List<DomainEvacuation> encode(Evacuations evacuations) {
        return evacuations.orders().stream()
                .limit(MAX_ORDERS)
                .map(order -> DomainEvacuation.newBuilder()
                        .setDomain(order.domain().value())
                        .setEra(order.position().era())
                        .setOffset(order.position().offset())
                        .setActive(order.active())
                        .build())
                .toList();
    }

    static List<EvacuationOrder> decode(Collection<DomainEvacuation> received) {
        return received.stream()
                .map(order -> new EvacuationOrder(
                        new FailureDomain(order.getDomain()),
                        new StorePosition(order.getEra(), order.getOffset()),
                        order.getActive()))
                .toList();
    }
}
