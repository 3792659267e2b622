package org.ragwortpitch.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.PoolKind;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.DutyClaimed;
import org.ragwortpitch.controllog.DutyReleased;
import org.ragwortpitch.controllog.LogEntry;
import org.ragwortpitch.controllog.WindowClosed;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.limit.OwnerAssignment;
import org.ragwortpitch.membership.Member;

/**
 * Decides which entries a member appends to the log to claim, release and carry out duties. Only the preferred member
 * claims a vacant duty, chosen by rendezvous hashing over the members that are not leaving, so that duties are spread
 * over the members and claims do not collide.
 *
 * @param windowMillis      the length of a usage window, in milliseconds
 * @param graceMillis       how long after its end a usage window is closed, in milliseconds
 * @param checkpointRecords the number of log records after which a checkpoint is due
 */
public record DutyPlanner(long windowMillis, long graceMillis, long checkpointRecords) {

    /**
     * Returns the entries to append: releases of all held duties if the member is leaving, otherwise claims of vacant
     * duties, the closing of a usage window and a checkpoint, as far as they are due.
     *
     * @param reducer    the control state as applied
     * @param self       this member
     * @param pools      the configured pools
     * @param wallMillis the current time, in milliseconds since the epoch
     */
    public List<LogEntry> plan(ControlStateReducer reducer, Incarnation self, List<PoolRule> pools, long wallMillis) {
        List<LogEntry> entries = new ArrayList<>();
        boolean leaving = reducer.membership().find(self).map(Member::leaving).orElse(true);
        if (leaving) {
            reducer.duties().terms().stream()
                    .filter(term -> term.holder().equals(self))
                    .forEach(term -> entries.add(new DutyReleased(term.duty(), term.term())));
            return entries;
        }
        for (DutyId duty : requiredDuties(pools)) {
            if (reducer.duties().find(duty).isEmpty() && isPreferred(reducer, duty, self)) {
                entries.add(new DutyClaimed(duty));
            }
        }
        planWindowClosing(reducer, self, wallMillis).ifPresent(entries::add);
        planCheckpoint(reducer, self).ifPresent(entries::add);
        return entries;
    }

    /** Returns the duties that must have a holder. */
    private static List<DutyId> requiredDuties(List<PoolRule> pools) {
        List<DutyId> duties = new ArrayList<>(List.of(Duties.USAGE, Duties.CHECKPOINT));
        pools.stream()
                .filter(pool -> pool.kind() == PoolKind.MODEL)
                .forEach(pool -> duties.add(Duties.fleet(pool.id())));
        return duties;
    }

    /** Returns whether a member is the one to claim a duty. */
    private static boolean isPreferred(ControlStateReducer reducer, DutyId duty, Incarnation self) {
        List<Incarnation> staying = reducer.members().stream()
                .filter(member -> !member.leaving())
                .map(Member::incarnation)
                .toList();
        return OwnerAssignment.owners(new AccountId(duty.value()), staying, 1).contains(self);
    }

    /** Returns the closing of a usage window, if this member holds the duty and it is due. */
    private Optional<LogEntry> planWindowClosing(ControlStateReducer reducer, Incarnation self, long wallMillis) {
        Optional<DutyTerm> held = heldBy(reducer, Duties.USAGE, self);
        Optional<Long> earliestOpen = reducer.usage().earliestOpenWindow();
        long window = windowOf(wallMillis - graceMillis) - windowMillis;
        if (held.isEmpty()
                || earliestOpen.isEmpty()
                || earliestOpen.get() > window
                || window <= reducer.usage().closedWindow()) {
            return Optional.empty();
        }
        return Optional.of(new WindowClosed(window, held.get().term()));
    }

    /** Returns a checkpoint, if this member holds the duty and it is due. */
    private Optional<LogEntry> planCheckpoint(ControlStateReducer reducer, Incarnation self) {
        boolean due = reducer.appliedOffset() - reducer.checkpointedOffset() >= checkpointRecords;
        boolean held = heldBy(reducer, Duties.CHECKPOINT, self).isPresent();
        return due && held ? Optional.of(reducer.checkpoint()) : Optional.empty();
    }

    /** Returns the term of a duty, if the given member holds it. */
    public static Optional<DutyTerm> heldBy(ControlStateReducer reducer, DutyId duty, Incarnation self) {
        return reducer.duties().find(duty).filter(term -> term.holder().equals(self));
    }

    /** Returns the start of the usage window that contains a time, both in milliseconds since the epoch. */
    public long windowOf(long wallMillis) {
        return wallMillis - Math.floorMod(wallMillis, windowMillis);
    }
}
