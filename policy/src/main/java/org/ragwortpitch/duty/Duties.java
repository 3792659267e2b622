package org.ragwortpitch.duty;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.PoolId;

/**
 * The duties that exist.
 */
public final class Duties {

    /**
     * Closes and reports usage windows.
     */
    public static final DutyId USAGE = new DutyId("usage");

    /**
     * Restates control state before the log's retention drops it.
     */
    public static final DutyId CHECKPOINT = new DutyId("checkpoint");

    /**
     * Not to be made.
     */
    private Duties() {}

    /**
     * Names the duty that orders a pool's endpoints.
     *
     * @param pool the pool
     * @return its duty
     */
    public static DutyId fleet(PoolId pool) {
        return new DutyId("fleet/" + pool.value());
    }
}
