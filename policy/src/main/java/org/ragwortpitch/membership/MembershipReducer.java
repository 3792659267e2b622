package org.ragwortpitch.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.MemberGone;
import org.ragwortpitch.controllog.MemberJoined;
import org.ragwortpitch.controllog.MemberRenewed;
import org.ragwortpitch.identity.Incarnation;

/**
 * Applies joins, renewals and departures from the log. Confined to one thread.
 */
public final class MembershipReducer {

    /**
     * How many records after its stated head a join is still accepted. Tombstones are retained as long, so that a late
     * join cannot readmit a departed incarnation.
     */
    public static final long JOIN_WINDOW_RECORDS = 100_000;

    private final Map<Incarnation, Member> members = new TreeMap<>();

    /** The tombstones, oldest first. */
    private final Deque<Tombstone> tombstones = new ArrayDeque<>();

    /** The departed incarnations, for lookup. */
    private final Set<Incarnation> departed = new HashSet<>();

    /** The log offset at which a member last joined, began to leave or departed. */
    private long changedOffset = -1;

    /**
     * Applies a join.
     *
     * @return {@link ApplyResult#DUPLICATE} if the incarnation is or was a member, {@link ApplyResult#STALE} if the
     * join was appended too long after its stated head
     */
    public ApplyResult applyJoin(LogRecord record, MemberJoined join) {
        dropTombstonesBefore(record.offset() - JOIN_WINDOW_RECORDS);
        if (members.containsKey(record.writer()) || departed.contains(record.writer())) {
            return ApplyResult.DUPLICATE;
        }
        if (record.offset() - join.headOffset() > JOIN_WINDOW_RECORDS) {
            return ApplyResult.STALE;
        }
        replacedBy(join).ifPresent(replaced -> depart(replaced, record.offset()));
        Member member = new Member(
                record.writer(),
                join.instance(),
                join.failureDomain(),
                join.callerAddress(),
                join.peerAddress(),
                record.offset(),
                record.offset(),
                record.offset(),
                record.sequence(),
                false);
        members.put(record.writer(), member);
        changedOffset = record.offset();
        return ApplyResult.ACCEPTED;
    }

    /**
     * Returns the member whose process must have ended according to a join: the new process has bound the same address
     * on the same instance.
     */
    public Optional<Incarnation> replacedBy(MemberJoined join) {
        return members.values().stream()
                .filter(member -> member.instance().equals(join.instance())
                        && member.peerAddress().equals(join.peerAddress()))
                .map(Member::incarnation)
                .findFirst();
    }

    /**
     * Checks a record's writer and sequence number, and drops repeated records.
     *
     * @return {@link ApplyResult#NOT_A_MEMBER} if the writer is not a member, {@link ApplyResult#DUPLICATE} if the
     * record was read before
     */
    public ApplyResult admit(LogRecord record) {
        Member member = members.get(record.writer());
        if (member == null) {
            return ApplyResult.NOT_A_MEMBER;
        }
        if (record.sequence() <= member.sequence()) {
            return ApplyResult.DUPLICATE;
        }
        members.put(record.writer(), member.withSequence(record.sequence()));
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies a member's renewal.
     *
     * @param record the record, already admitted
     */
    public ApplyResult applyRenewal(LogRecord record, MemberRenewed renewal) {
        Member before = members.get(record.writer());
        if (before != null && renewal.leaving() && !before.leaving()) {
            changedOffset = record.offset();
        }
        members.computeIfPresent(
                record.writer(),
                (id, member) -> member.withRenewal(record.offset(), renewal.appliedOffset(), renewal.leaving()));
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies a member's own departure.
     *
     * @param record the record, already admitted
     */
    public ApplyResult applyDeparture(LogRecord record) {
        depart(record.writer(), record.offset());
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies an eviction.
     *
     * @param record the record, already admitted
     * @return accepted if the target's newest renewal is the one that the record names, otherwise {@link
     * ApplyResult#STALE}
     */
    public ApplyResult applyEviction(LogRecord record, MemberGone gone) {
        Member target = members.get(gone.target());
        if (target == null || target.renewedOffset() != gone.supersedes()) {
            return ApplyResult.STALE;
        }
        depart(gone.target(), record.offset());
        return ApplyResult.ACCEPTED;
    }

    /** Returns a member, or empty if the incarnation is not a member. */
    public Optional<Member> find(Incarnation incarnation) {
        return Optional.ofNullable(members.get(incarnation));
    }

    /** Returns all members, ordered by incarnation. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the log offset at which a member last joined, began to leave or departed; -1 before the first member.
     */
    public long changedOffset() {
        return changedOffset;
    }

    /** Returns the tombstones of incarnations that departed recently, oldest first. */
    public List<Tombstone> tombstones() {
        return List.copyOf(tombstones);
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param restoredMembers    the members
     * @param restoredTombstones the tombstones, oldest first
     * @param upToOffset         the last log offset that the state includes
     */
    public void restore(Collection<Member> restoredMembers, Collection<Tombstone> restoredTombstones, long upToOffset) {
        changedOffset = upToOffset;
        members.clear();
        tombstones.clear();
        departed.clear();
        restoredMembers.forEach(member -> members.put(member.incarnation(), member));
        restoredTombstones.forEach(this::addTombstone);
    }

    private void depart(Incarnation incarnation, long offset) {
        members.remove(incarnation);
        changedOffset = offset;
        addTombstone(new Tombstone(incarnation, offset));
    }

    private void addTombstone(Tombstone tombstone) {
        tombstones.addLast(tombstone);
        departed.add(tombstone.incarnation());
    }

    /**
     * Drops the tombstones of departures that no late join can follow any more.
     *
     * @param offset the log offset before which tombstones are dropped
     */
    private void dropTombstonesBefore(long offset) {
        while (!tombstones.isEmpty() && tombstones.peekFirst().departedOffset() < offset) {
            departed.remove(tombstones.removeFirst().incarnation());
        }
    }
}
