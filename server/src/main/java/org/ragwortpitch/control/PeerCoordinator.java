package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.MemberGone;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.PeerProgress;
import org.ragwortpitch.membership.PeerProgressTracker;

/**
 * Exchanges log progress, promises not to evict and usage with other members. Confined to the control thread.
 */
final class PeerCoordinator {

    /**
     * Backlog of entries from which usage of other members is refused.
     */
    private static final int MAX_BUFFERED_ENTRIES = 100_000;

    private final ControlSettings settings;

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    private final MemberSession session;

    private final EvictionWatch watch;

    private final PeerProgressTracker peerProgress = new PeerProgressTracker();

    PeerCoordinator(
            ControlSettings settings,
            ControlStateReducer reducer,
            LogWriter writer,
            MemberSession session,
            EvictionWatch watch) {
        this.settings = settings;
        this.reducer = reducer;
        this.writer = writer;
        this.session = session;
        this.watch = watch;
    }

    /**
     * Drops the progress of daemons that are no longer members.
     */
    void removeFormerMembers() {
        peerProgress.retain(reducer.members().stream().map(Member::incarnation).toList());
    }

    /**
     * Records the progress of another member.
     *
     * @param progress the progress that it reported
     */
    void updateProgress(PeerProgress progress) {
        peerProgress.record(progress);
    }

    /**
     * Answers a query for this member's progress. It promises not to evict the querying member only if no record that
     * evicts that member is pending.
     *
     * @param query         the query
     * @param contactMillis when this daemon was last in contact with the head of the log, of the monotonic clock;
     *                      {@link Long#MIN_VALUE} if never
     * @param nowMillis     the time of the monotonic clock
     */
    void answerPresence(QueryPresence query, long contactMillis, long nowMillis) {
        Incarnation querier = query.querier();
        boolean evicting = writer.hasPending(
                entry -> entry instanceof MemberGone gone && gone.target().equals(querier));
        boolean promised =
                session.isMember() && reducer.membership().find(querier).isPresent() && !evicting;
        if (promised) {
            watch.promise(querier, nowMillis);
        }
        long contactAgeMillis = contactMillis == Long.MIN_VALUE ? -1 : nowMillis - contactMillis;
        query.result()
                .complete(new PresenceResponse(
                        session.incarnation(), reducer.appliedOffset(), contactAgeMillis, promised));
    }

    /**
     * Buffers the usage of another member until it can be written, unless the backlog is too large.
     *
     * @param request the request
     */
    void bufferUsage(BufferPeerUsage request) {
        boolean hasCapacity = writer.size() < MAX_BUFFERED_ENTRIES;
        if (hasCapacity) {
            request.entries().forEach(entry -> writer.addUsage(entry, new CompletableFuture<>()));
        }
        request.result().complete(hasCapacity);
    }

    /**
     * Returns when the rules were last known to be current, by this daemon's own contact with the log or by that of
     * other members. Under {@link OutageKeys#SERVE} they count as current at all times after the first contact.
     *
     * @param contactMillis when this daemon was last in contact with the head of the log, of the monotonic clock;
     *                      {@link Long#MIN_VALUE} if never
     * @param nowMillis     the time of the monotonic clock
     * @return the time of the monotonic clock; {@link Long#MIN_VALUE} if never
     */
    long rulesConfirmedMillis(long contactMillis, long nowMillis) {
        if (contactMillis == Long.MIN_VALUE) {
            return contactMillis;
        }
        long confirmed = Math.max(contactMillis, peerProgress.contactMillis(reducer.appliedOffset()));
        return switch (settings.outageKeys()) {
            case REFUSE -> confirmed;
            case AGREED -> Math.max(
                    confirmed,
                    peerProgress.upToDateMillis(session.incarnation(), reducer.members(), reducer.appliedOffset()));
            case SERVE -> nowMillis;
        };
    }

    /**
     * Returns until when all other members have promised not to evict this one.
     *
     * @return the time of the monotonic clock; {@link Long#MIN_VALUE} if a promise is missing
     */
    long noEvictionUntilMillis() {
        return peerProgress.promisedUntilMillis(
                session.incarnation(), reducer.members(), settings.timing().ttlMillis());
    }
}
