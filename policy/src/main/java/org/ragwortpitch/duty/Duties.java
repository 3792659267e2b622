package org.ragwortpitch.duty;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.PoolId;

/**
 * The identifiers of all duties.
 */
public final class Duties {

    /** Closes usage windows and reports them. */
    public static final DutyId USAGE = new DutyId("usage");

    /** Appends checkpoints of the control state before the log's retention drops the records behind it. */
    public static final DutyId CHECKPOINT = new DutyId("checkpoint");

    private Duties() {}

    /** Returns the duty of ordering the endpoints of a pool to their roles. */
    public static DutyId fleet(PoolId pool) {
        return new DutyId("fleet/" + pool.value());
    }
}
