package org.ragwortpitch.pacing;

import java.util.Collection;
import java.util.Comparator;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Divides wall clock time into slots, in each of which one daemon may send an endpoint some requests. Every daemon
 * computes the owner of a slot by rendezvous hashing (Thaler and Ravishankar, 1998) from the list of daemons, so that
 * the limit holds for all of them without a message on the way of a request. A skewed clock only shifts a daemon's own
 * slots, and two lists that differ by one daemon agree on most owners.
 *
 * @param slotMillis      the length of a slot, in milliseconds
 * @param requestsPerSlot how many requests the owner of a slot may send in it
 */
record SlotSchedule(long slotMillis, int requestsPerSlot) {

    /** Length up to which a slot takes several requests, in seconds: in shorter ones, owners would often have none. */
    private static final double MIN_SLOT_SECONDS = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Lowest rate, in requests a second: without any request, no response would tell that the limit has ended. */
    private static final double MIN_PER_SECOND = 0.25;

    /** Steps to which limits are rounded down, per octave, so that daemons agree on one that fluctuates a little. */
    private static final int STEPS_PER_OCTAVE = 4;

    /**
     * Returns the schedule for a limit.
     *
     * @param perSecond the limit in requests a second
     */
    static SlotSchedule of(double perSecond) {
        double rate = Math.max(MIN_PER_SECOND, roundDown(perSecond));
        int requests = (int) Math.max(1, Math.floor(rate * MIN_SLOT_SECONDS));
        return new SlotSchedule((long) Math.ceil(requests * MILLIS_PER_SECOND / rate), requests);
    }

    private static double roundDown(double perSecond) {
        double octaves = Math.log(Math.max(MIN_PER_SECOND, perSecond)) / Math.log(2);
        // Tolerates the rounding error of the logarithm, so that a limit on a step stays there.
        return Math.pow(2, Math.floor(octaves * STEPS_PER_OCTAVE + 1e-9) / STEPS_PER_OCTAVE);
    }

    /**
     * Returns the number of the slot at a time of the wall clock, in milliseconds.
     */
    long slot(long wallMillis) {
        return Math.floorDiv(wallMillis, slotMillis);
    }

    /**
     * Returns when a slot starts, in milliseconds of the wall clock.
     */
    long startMillis(long slot) {
        return slot * slotMillis;
    }

    /**
     * Returns when a slot ends, in milliseconds of the wall clock.
     */
    long endMillis(long slot) {
        return startMillis(slot + 1);
    }

    /**
     * Returns the daemon that may send in a slot.
     *
     * @param daemons all daemons; at least one
     */
    static InstanceId owner(EndpointId endpoint, long slot, Collection<InstanceId> daemons) {
        return daemons.stream()
                .max(Comparator.<InstanceId>comparingLong(daemon -> weight(endpoint, slot, daemon))
                        .thenComparing(InstanceId::value))
                .orElseThrow();
    }

    private static long weight(EndpointId endpoint, long slot, InstanceId daemon) {
        return mix(mix(mix(slot) ^ endpoint.value().hashCode()) ^ daemon.value().hashCode());
    }

    /** The finaliser of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
