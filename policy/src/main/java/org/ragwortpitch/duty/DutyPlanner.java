package org.ragwortpitch.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.PoolKind;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.DutyClaimed;
import org.ragwortpitch.journal.DutyReleased;
import org.ragwortpitch.journal.LogEntry;
import org.ragwortpitch.journal.WindowClosed;
import org.ragwortpitch.limit.HomeAssignment;
import org.ragwortpitch.membership.Member;

/**
 * Decides what a member writes to the log for the sake of duties. Only the preferred member claims a vacant duty, by
 * rendezvous hashing over the members that are not leaving, so that duties spread and claims do not collide.
 *
 * @param windowMillis       the length of a usage window, in milliseconds
 * @param graceMillis        how long after its end a usage window is closed, in milliseconds
 * @param checkpointRecords  after how many records the state is restated
 */
public record DutyPlanner(long windowMillis, long graceMillis, long checkpointRecords) {

    /**
     * Decides what to write.
     *
     * @param fold       the log as applied
     * @param self       this member
     * @param pools      the pools of the configuration
     * @param wallMillis the present time, in milliseconds since the epoch
     * @return the entries to append
     */
    public List<LogEntry> plan(ControlFold fold, Incarnation self, List<PoolRule> pools, long wallMillis) {
        List<LogEntry> entries = new ArrayList<>();
        boolean leaving = fold.membership().find(self).map(Member::leaving).orElse(true);
        if (leaving) {
            fold.duties().terms().stream()
                    .filter(term -> term.holder().equals(self))
                    .forEach(term -> entries.add(new DutyReleased(term.duty(), term.term())));
            return entries;
        }
        for (DutyId duty : wanted(pools)) {
            if (fold.duties().find(duty).isEmpty() && isPreferred(fold, duty, self)) {
                entries.add(new DutyClaimed(duty));
            }
        }
        planUsage(fold, self, wallMillis).ifPresent(entries::add);
        planCheckpoint(fold, self).ifPresent(entries::add);
        return entries;
    }

    /**
     * Lists the duties that someone should hold.
     *
     * @param pools the pools of the configuration
     * @return the duties
     */
    private static List<DutyId> wanted(List<PoolRule> pools) {
        List<DutyId> duties = new ArrayList<>(List.of(Duties.USAGE, Duties.CHECKPOINT));
        pools.stream()
                .filter(pool -> pool.kind() == PoolKind.MODEL)
                .forEach(pool -> duties.add(Duties.fleet(pool.id())));
        return duties;
    }

    /**
     * Tells whether a member is the one to claim a duty.
     *
     * @param fold the log as applied
     * @param duty the duty
     * @param self the member
     * @return whether it is
     */
    private static boolean isPreferred(ControlFold fold, DutyId duty, Incarnation self) {
        List<Incarnation> staying = fold.members().stream()
                .filter(member -> !member.leaving())
                .map(Member::incarnation)
                .toList();
        return HomeAssignment.homes(new AccountId(duty.value()), staying, 1).contains(self);
    }

    /**
     * Decides whether to close a usage window.
     *
     * @param fold       the log as applied
     * @param self       this member
     * @param wallMillis the present time, in milliseconds since the epoch
     * @return the closing, if it is due
     */
    private Optional<LogEntry> planUsage(ControlFold fold, Incarnation self, long wallMillis) {
        Optional<DutyTerm> held = heldBy(fold, Duties.USAGE, self);
        Optional<Long> earliest = fold.usage().earliestOpenWindow();
        long window = windowOf(wallMillis - graceMillis) - windowMillis;
        if (held.isEmpty()
                || earliest.isEmpty()
                || earliest.get() > window
                || window <= fold.usage().closedWindow()) {
            return Optional.empty();
        }
        return Optional.of(new WindowClosed(window, held.get().term()));
    }

    /**
     * Decides whether to restate the state.
     *
     * @param fold the log as applied
     * @param self this member
     * @return the checkpoint, if it is due
     */
    private Optional<LogEntry> planCheckpoint(ControlFold fold, Incarnation self) {
        boolean due = fold.appliedOffset() - fold.checkpointedOffset() >= checkpointRecords;
        boolean mine = heldBy(fold, Duties.CHECKPOINT, self).isPresent();
        return due && mine ? Optional.of(fold.checkpoint()) : Optional.empty();
    }

    /**
     * Finds a duty in a member's hands.
     *
     * @param fold the log as applied
     * @param duty the duty
     * @param self the member
     * @return the term, if the member holds the duty
     */
    public static Optional<DutyTerm> heldBy(ControlFold fold, DutyId duty, Incarnation self) {
        return fold.duties().find(duty).filter(term -> term.holder().equals(self));
    }

    /**
     * Tells the window of a moment.
     *
     * @param wallMillis the moment, in milliseconds since the epoch
     * @return the window's start
     */
    public long windowOf(long wallMillis) {
        return wallMillis - Math.floorMod(wallMillis, windowMillis);
    }
}
