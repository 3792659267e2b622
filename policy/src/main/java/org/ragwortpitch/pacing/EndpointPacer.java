package org.ragwortpitch.pacing;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Holds this daemon to its part of an endpoint's rate limit. The daemons tell each other what the endpoint states; each
 * sends only in slots of its own, and unused ones are not saved up, so that all of them together stay within the limit
 * however many there are. An endpoint that is cold is paced alike; only there, daemons lend slots that they don't need
 * to each other. Confined to one thread.
 */
public final class EndpointPacer {

    /** Most slots ahead of the present one that a loan may be, in a large fleet whose rounds of gossip are long. */
    private static final int MAX_SLOTS_AHEAD = 32;

    private final EndpointId endpoint;
    private final SlotLoans loans = new SlotLoans();
    private Optional<LimitReading> own = Optional.empty();
    private Optional<LimitReading> inDomain = Optional.empty();
    private Optional<LimitReading> newest = Optional.empty();
    private long usedSlotEndMillis = Long.MIN_VALUE;
    private int sentInUsedSlot;
    private long consideredStartMillis = Long.MIN_VALUE;

    /**
     * Creates a pacer of an endpoint without a limit.
     */
    public EndpointPacer(EndpointId endpoint) {
        this.endpoint = endpoint;
    }

    /**
     * Records what the endpoint states in a response to this daemon.
     *
     * @param perSecond  the limit in requests a second; empty if it states none
     * @param sentMillis when the request was sent, in milliseconds of the monotonic clock
     * @return whether the limit has changed
     */
    public boolean responded(OptionalDouble perSecond, long sentMillis, long nowMillis) {
        if (perSecond.isEmpty()
                && (limit().isEmpty() || sentMillis <= newest.get().atMillis())) {
            // There is no limit to end, or the response may have been made before the limit was stated.
            return false;
        }
        OptionalDouble before = limit();
        LimitReading reading = new LimitReading(perSecond, nowMillis);
        own = Optional.of(reading);
        inDomain = newer(inDomain, reading);
        newest = newer(newest, reading);
        return !before.equals(limit());
    }

    /**
     * Learns what the endpoint stated to a daemon that gossips directly with this one.
     *
     * @return whether the limit has changed
     */
    public boolean learnFromDirectPeer(LimitReading reading) {
        inDomain = newer(inDomain, reading);
        return learn(reading);
    }

    /**
     * Learns what the endpoint stated to another daemon.
     *
     * @return whether the limit has changed
     */
    public boolean learn(LimitReading reading) {
        OptionalDouble before = limit();
        newest = newer(newest, reading);
        return !before.equals(limit());
    }

    /**
     * Returns what the endpoint has last stated to this daemon; empty if it never stated a limit. Only this is told to
     * direct peers: a reading that was passed on again would look newer with each hop.
     */
    public Optional<LimitReading> own() {
        return own;
    }

    /**
     * Returns what the endpoint has last stated to the daemons that gossip directly with each other.
     */
    public Optional<LimitReading> inDomain() {
        return inDomain;
    }

    /**
     * Returns the limit in requests a second; empty if there is none.
     */
    public OptionalDouble limit() {
        return newest.map(LimitReading::perSecond).orElse(OptionalDouble.empty());
    }

    /**
     * Returns the rate to which all daemons together are held, in requests a second; empty if there is none.
     *
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold; empty if it is not
     */
    public OptionalDouble limit(OptionalDouble coldPerSecond) {
        OptionalDouble stated = limit();
        if (stated.isEmpty() || coldPerSecond.isEmpty()) {
            return stated.isEmpty() ? coldPerSecond : stated;
        }
        return OptionalDouble.of(Math.min(stated.getAsDouble(), coldPerSecond.getAsDouble()));
    }

    /**
     * Returns whether this daemon may send a request now.
     *
     * @param daemons       all daemons of the fleet, with this one; empty while they are not known
     * @param wallMillis    the wall clock that the daemons agree on, in milliseconds since 1970
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold; empty if it is not
     */
    public boolean isOpen(
            InstanceId self, Optional<Collection<InstanceId>> daemons, long wallMillis, OptionalDouble coldPerSecond) {
        if (limit(coldPerSecond).isEmpty()) {
            return true;
        }
        if (coldPerSecond.isPresent() && coldPerSecond.getAsDouble() == 0) {
            return false;
        }
        SlotSchedule schedule = schedule(coldPerSecond);
        long slot = schedule.slot(wallMillis);
        long startMillis = schedule.startMillis(slot);
        long endMillis = schedule.endMillis(slot);
        boolean unused = startMillis >= usedSlotEndMillis;
        boolean partlyUsed = endMillis == usedSlotEndMillis && sentInUsedSlot < schedule.requestsPerSlot();
        return (unused || partlyUsed)
                && daemons.isPresent()
                && (loans.isBorrowed(startMillis, endMillis)
                        || !loans.isLent(startMillis, endMillis)
                                && SlotSchedule.owner(endpoint, slot, daemons.get())
                                        .equals(self));
    }

    /**
     * Records a request that this daemon sends.
     *
     * @param wallMillis    the wall clock that the daemons agree on, in milliseconds since 1970
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold; empty if it is not
     */
    public void sent(long wallMillis, OptionalDouble coldPerSecond) {
        if (limit(coldPerSecond).isEmpty()) {
            return;
        }
        SlotSchedule schedule = schedule(coldPerSecond);
        long endMillis = schedule.endMillis(schedule.slot(wallMillis));
        sentInUsedSlot = endMillis == usedSlotEndMillis ? sentInUsedSlot + 1 : 1;
        usedSlotEndMillis = endMillis;
    }

    /**
     * Gives up the next slot of this daemon that is far enough ahead, for another daemon. This daemon doesn't use it
     * any more, whether or not the other one learns of the loan, so that the sum over all daemons doesn't rise.
     *
     * @param daemons       returns all daemons of the fleet, with this one; empty while they are not known
     * @param wallMillis    the wall clock that the daemons agree on, in milliseconds since 1970
     * @param leadMillis    the time that the other daemon may need to learn of the loan, in milliseconds; at least one
     *                      whole slot is left to it in any case
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold
     * @return the number of the slot; empty if that slot belongs to another daemon, or was considered before
     */
    public OptionalLong lend(
            InstanceId self,
            Supplier<Optional<Collection<InstanceId>>> daemons,
            long wallMillis,
            long leadMillis,
            OptionalDouble coldPerSecond) {
        SlotSchedule schedule = schedule(coldPerSecond);
        long slot = schedule.slot(wallMillis + Math.max(leadMillis, schedule.slotMillis())) + 1;
        long startMillis = schedule.startMillis(slot);
        if (startMillis <= consideredStartMillis || startMillis < usedSlotEndMillis) {
            return OptionalLong.empty();
        }
        consideredStartMillis = startMillis;
        loans.prune(wallMillis);
        Optional<Collection<InstanceId>> known = daemons.get();
        if (known.isEmpty() || !SlotSchedule.owner(endpoint, slot, known.get()).equals(self)) {
            return OptionalLong.empty();
        }
        loans.lend(startMillis, schedule.endMillis(slot));
        return OptionalLong.of(slot);
    }

    /**
     * Records that this daemon may use a slot of another daemon. A slot in the past, or so far ahead that the other
     * daemon must count with another rate, is ignored.
     *
     * @param wallMillis    the wall clock that the daemons agree on, in milliseconds since 1970
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold
     */
    public void borrow(long slot, long wallMillis, OptionalDouble coldPerSecond) {
        SlotSchedule schedule = schedule(coldPerSecond);
        loans.prune(wallMillis);
        long aheadSlots = slot - schedule.slot(wallMillis);
        if (aheadSlots >= 0 && aheadSlots <= MAX_SLOTS_AHEAD) {
            loans.borrow(schedule.startMillis(slot), schedule.endMillis(slot));
        }
    }

    /**
     * Returns which daemon of several a slot is lent to, so that slots are spread evenly.
     *
     * @param candidates at least one
     */
    public InstanceId borrower(long slot, Collection<InstanceId> candidates) {
        return SlotSchedule.owner(endpoint, slot, candidates);
    }

    private SlotSchedule schedule(OptionalDouble coldPerSecond) {
        return SlotSchedule.of(limit(coldPerSecond).orElseThrow());
    }

    private static Optional<LimitReading> newer(Optional<LimitReading> known, LimitReading reading) {
        return known.isPresent() && known.get().atMillis() >= reading.atMillis() ? known : Optional.of(reading);
    }
}
