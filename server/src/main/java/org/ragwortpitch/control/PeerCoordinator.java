package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.MemberGone;
import org.ragwortpitch.membership.EvictionWatch;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.Witness;
import org.ragwortpitch.membership.Witnesses;

/**
 * What this daemon and other members tell each other. Confined to the control thread.
 */
final class PeerCoordinator {

    /**
     * The most entries that wait for the log when another member's usage is taken.
     */
    private static final int MAX_BUFFERED_ENTRIES = 100_000;

    /**
     * The settings.
     */
    private final ControlSettings settings;

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * This daemon's membership.
     */
    private final MemberSession session;

    /**
     * Watches other members' leases.
     */
    private final EvictionWatch watch;

    /**
     * What other members have said.
     */
    private final Witnesses peerProgress = new Witnesses();

    /**
     * Makes a desk that has heard nothing.
     *
     * @param settings the settings
     * @param fold     the log as applied
     * @param writer   writes to the log
     * @param session  this daemon's membership
     * @param watch    watches other members' leases
     */
    PeerCoordinator(
            ControlSettings settings, ControlFold fold, LogWriter writer, MemberSession session, EvictionWatch watch) {
        this.settings = settings;
        this.reducer = fold;
        this.writer = writer;
        this.session = session;
        this.watch = watch;
    }

    /**
     * Forgets those who are no longer members.
     */
    void removeFormerMembers() {
        peerProgress.retain(reducer.members().stream().map(Member::incarnation).toList());
    }

    /**
     * Takes another member's word.
     *
     * @param witness the word
     */
    void updateProgress(Witness witness) {
        peerProgress.heard(witness);
    }

    /**
     * Answers another member how far this one is. The word not to evict it is given only while no such statement of
     * this daemon's is on its way.
     *
     * @param question      the question
     * @param contactMillis when this daemon was last in touch with the log's head itself
     * @param nowMillis     the present time, of the monotonic clock
     */
    void answerPresence(AskPresence question, long contactMillis, long nowMillis) {
        Incarnation asker = question.asker();
        boolean evicting = writer.hasPending(
                entry -> entry instanceof MemberGone gone && gone.target().equals(asker));
        boolean promised =
                session.isMember() && reducer.membership().find(asker).isPresent() && !evicting;
        if (promised) {
            watch.promise(asker, nowMillis);
        }
        long age = contactMillis == Long.MIN_VALUE ? -1 : nowMillis - contactMillis;
        question.result().complete(new PresenceAnswer(session.incarnation(), reducer.appliedOffset(), age, promised));
    }

    /**
     * Holds another member's usage until it can be written.
     *
     * @param request the usage
     */
    void bufferUsage(HoldUsage request) {
        boolean room = writer.size() < MAX_BUFFERED_ENTRIES;
        if (room) {
            request.entries().forEach(entry -> writer.addUsage(entry, new CompletableFuture<>()));
        }
        request.result().complete(room);
    }

    /**
     * Tells since when the rules are known to be the newest.
     *
     * @param contactMillis when this daemon was last in touch with the log's head itself
     * @param nowMillis     the present time, of the monotonic clock
     * @return the time, of the monotonic clock
     */
    long rulesConfirmedMillis(long contactMillis, long nowMillis) {
        if (contactMillis == Long.MIN_VALUE) {
            return contactMillis;
        }
        long vouched = Math.max(contactMillis, peerProgress.contactMillis(reducer.appliedOffset()));
        return switch (settings.outageKeys()) {
            case REFUSE -> vouched;
            case AGREED -> Math.max(
                    vouched,
                    peerProgress.agreedMillis(session.incarnation(), reducer.members(), reducer.appliedOffset()));
            case SERVE -> nowMillis;
        };
    }

    /**
     * Tells until when no member will evict this one.
     *
     * @return the time, of the monotonic clock
     */
    long noEvictionUntilMillis() {
        return peerProgress.promisedMillis(
                session.incarnation(), reducer.members(), settings.timing().ttlMillis());
    }
}
