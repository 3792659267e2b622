package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.duty.DepartedMembers;
import org.ragwortpitch.logging.Event;

/**
 * Makes members of the duties' group leave it whose process has stopped for good, once the store answers, so that their
 * duties are free before their time to live has run out. A member that is only silent is never among them, as its
 * process may be frozen and act on its lease later. Confined to the control thread.
 */
final class MemberDepartures {

    private static final Logger LOGGER = System.getLogger(MemberDepartures.class.getName());

    private final StoreClient store;
    private final String group;
    private final LongSupplier nowMillis;
    private final Consumer<List<String>> tell;
    private final Runnable onLeft;
    private final DepartedMembers departed = new DepartedMembers();
    private final Set<String> leaving = new HashSet<>();
    private List<String> told = List.of();
    private boolean callsStore;

    /**
     * Creates departures of no members.
     *
     * @param nowMillis a clock that also counts the time for which the instance was frozen
     * @param tell      receives the members to tell other daemons of, with each change
     * @param onLeft    called when a member has left the group
     */
    MemberDepartures(
            StoreClient store, String group, LongSupplier nowMillis, Consumer<List<String>> tell, Runnable onLeft) {
        this.store = store;
        this.group = group;
        this.nowMillis = nowMillis;
        this.tell = tell;
        this.onLeft = onLeft;
    }

    /**
     * Sets whether this daemon makes members leave on behalf of the fleet.
     */
    void callStore(boolean calls) {
        callsStore = calls;
    }

    /**
     * Learns of members whose process has stopped for good.
     *
     * @param source how this daemon learned of it, for the log
     */
    void learn(Collection<String> members, String source) {
        for (String member : members) {
            if (departed.learn(member, nowMillis.getAsLong())) {
                Event.of("member-departed")
                        .with("member", member)
                        .with("source", source)
                        .info(LOGGER);
            }
        }
        step();
    }

    /**
     * Returns a time at which the process of a member had ended; empty if it is not known to have ended.
     */
    OptionalLong endedMillis(String member) {
        return departed.endedMillis(member);
    }

    /**
     * Tells of departed members, and makes them leave if the store answers. Called periodically, and once the store
     * answers again.
     */
    void step() {
        departed.expire(store.reachableForMillis(), nowMillis.getAsLong());
        List<String> now = departed.told();
        if (!now.equals(told)) {
            told = now;
            tell.accept(now);
        }
        if (callsStore && store.isReachable()) {
            departed.toLeave().forEach(this::leave);
        }
    }

    private void leave(String member) {
        if (!leaving.add(member)) {
            return;
        }
        store.call(
                StoreCodec.leave(group, member),
                0,
                response -> {
                    leaving.remove(member);
                    departed.recordLeft(member);
                    Event.of("member-left")
                            .with("member", member)
                            .with("status", response.status())
                            .info(LOGGER);
                    onLeft.run();
                },
                reason -> leaving.remove(member));
    }
}
