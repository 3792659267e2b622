package org.ragwortpitch.edge.traffic;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.pacing.EndpointPacer;

/**
 * Tells which endpoints this daemon may send a request to now, as far as they limit the rate of all daemons together.
 * Confined to the traffic thread.
 *
 * @param daemons    returns all daemons, with this one; empty while they are not known
 * @param wallMillis the wall clock that the majority of daemons agrees on, in milliseconds since 1970
 */
public record EndpointPermits(
        InstanceId self, Supplier<Optional<Collection<InstanceId>>> daemons, LongSupplier wallMillis) {

    /**
     * Returns whether a request may be sent now.
     *
     * @param coldPerSecond the requests a second that the endpoint takes as it is cold; empty if it is not
     */
    boolean isOpen(EndpointState state, OptionalDouble coldPerSecond) {
        return state.pacer().limit(coldPerSecond).isEmpty()
                || state.pacer().isOpen(self, daemons.get(), wallMillis.getAsLong(), coldPerSecond);
    }

    void recordSent(EndpointState state, OptionalDouble coldPerSecond) {
        state.pacer().sent(wallMillis.getAsLong(), coldPerSecond);
    }

    /**
     * Gives up a slot of this daemon for another one, as {@link EndpointPacer#lend} does.
     */
    OptionalLong lend(EndpointState state, long leadMillis, OptionalDouble coldPerSecond) {
        return state.pacer().lend(self, daemons, wallMillis.getAsLong(), leadMillis, coldPerSecond);
    }

    void borrow(EndpointState state, long slot, OptionalDouble coldPerSecond) {
        state.pacer().borrow(slot, wallMillis.getAsLong(), coldPerSecond);
    }
}
