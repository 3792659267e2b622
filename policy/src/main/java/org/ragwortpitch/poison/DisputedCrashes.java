package org.ragwortpitch.poison;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.EndpointIncarnation;

/**
 * Decides whether endpoints crashed, or only the paths to them broke, where a daemon recorded crashes shortly before it
 * lost contact with a pool. An endpoint that has crashed is soon not listed any more, or as another incarnation. One
 * that responds and stays listed has not. Bounded; confined to one thread.
 */
public final class DisputedCrashes {

    /**
     * Time within which the listing shows that an endpoint has ended, in milliseconds. An endpoint that leaves the
     * listing later has another reason.
     */
    static final long LISTING_MILLIS = 8_000;

    /** Time after a response within which the listing shows that it came from another incarnation, in milliseconds. */
    static final long RESPONSE_LISTING_MILLIS = 4_000;

    private static final int MAX_CRASHES = 1_000;

    private final Map<EndpointIncarnation, Dispute> disputes = new LinkedHashMap<>() {

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Dispute> eldest) {
            return size() > MAX_CRASHES;
        }
    };

    /**
     * Disputes the crash of an endpoint that is listed.
     */
    public void dispute(EndpointIncarnation endpoint, long nowMillis) {
        disputes.put(endpoint, new Dispute(nowMillis + LISTING_MILLIS, Long.MAX_VALUE));
    }

    /**
     * Records a response of the endpoint that is listed as an incarnation.
     */
    public void responded(EndpointIncarnation endpoint, long nowMillis) {
        disputes.computeIfPresent(
                endpoint,
                (key, dispute) ->
                        dispute.responseMillis() <= nowMillis ? dispute : new Dispute(dispute.endMillis(), nowMillis));
    }

    /**
     * Returns whether no crash is disputed.
     */
    public boolean isEmpty() {
        return disputes.isEmpty();
    }

    /**
     * Settles the disputes that can be settled.
     *
     * @param listed the incarnations that are listed now
     * @return the endpoints that have crashed
     */
    public Set<EndpointIncarnation> settle(Set<EndpointIncarnation> listed, long nowMillis) {
        disputes.values().removeIf(dispute -> dispute.isOver(nowMillis));
        Set<EndpointIncarnation> ended = new HashSet<>(disputes.keySet());
        ended.removeAll(listed);
        disputes.keySet().removeAll(ended);
        return ended;
    }

    /**
     * A dispute, which ends by itself with the endpoint alive.
     *
     * @param endMillis      when it ends
     * @param responseMillis when the endpoint first responded
     */
    private record Dispute(long endMillis, long responseMillis) {

        boolean isOver(long nowMillis) {
            return nowMillis >= endMillis || nowMillis - RESPONSE_LISTING_MILLIS >= responseMillis;
        }
    }
}
