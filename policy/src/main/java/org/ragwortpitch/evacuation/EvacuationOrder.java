package org.ragwortpitch.evacuation;

import org.ragwortpitch.identity.FailureDomain;

/**
 * What an operator has last ordered for a failure domain.
 *
 * @param position the position of the operator's record, or the end of a load of the topic that lacks one
 * @param active   whether the domain is evacuated; false if the evacuation was cancelled
 */
public record EvacuationOrder(FailureDomain domain, StorePosition position, boolean active) {

    /**
     * Returns whether this order replaces another for the same domain. At the same position, an evacuation replaces a
     * cancellation: the end of a load is the offset of the next record, which is newer than the load.
     */
    boolean replaces(EvacuationOrder other) {
        int order = position.compareTo(other.position);
        return order > 0 || order == 0 && active && !other.active;
    }
}
