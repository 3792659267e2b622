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
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.MemberGone;
import org.ragwortpitch.journal.MemberJoined;
import org.ragwortpitch.journal.MemberRenewed;
import org.ragwortpitch.journal.Verdict;

/**
 * Folds joins, renewals and departures. Confined to one thread.
 */
public final class MembershipFold {

    /**
     * How many records after its stated head a join is still taken; departed incarnations are remembered as long.
     */
    public static final long JOIN_WINDOW_RECORDS = 100_000;

    /**
     * The members by incarnation.
     */
    private final Map<Incarnation, Member> members = new TreeMap<>();

    /**
     * The departed incarnations, oldest first.
     */
    private final Deque<Tombstone> tombstones = new ArrayDeque<>();

    /**
     * The departed incarnations, for look-up.
     */
    private final Set<Incarnation> departed = new HashSet<>();

    /**
     * The offset of the last change of who is a member or leaving.
     */
    private long changedOffset = -1;

    /**
     * Takes a join.
     *
     * @param record the record
     * @param join   its content
     * @return the verdict
     */
    public Verdict joined(LogRecord record, MemberJoined join) {
        forgetBefore(record.offset() - JOIN_WINDOW_RECORDS);
        if (members.containsKey(record.writer()) || departed.contains(record.writer())) {
            return Verdict.DUPLICATE;
        }
        if (record.offset() - join.headOffset() > JOIN_WINDOW_RECORDS) {
            return Verdict.STALE;
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
        return Verdict.ACCEPTED;
    }

    /**
     * Finds the member whose process a join shows to have ended: the new one has bound the same address on the same
     * instance.
     *
     * @param join the join
     * @return the replaced member, if there is one
     */
    public Optional<Incarnation> replacedBy(MemberJoined join) {
        return members.values().stream()
                .filter(member -> member.instance().equals(join.instance())
                        && member.peerAddress().equals(join.peerAddress()))
                .map(Member::incarnation)
                .findFirst();
    }

    /**
     * Takes note of a member's record, and drops repeated ones.
     *
     * @param record the record
     * @return accepted if the writer is a member and the record is new
     */
    public Verdict admit(LogRecord record) {
        Member member = members.get(record.writer());
        if (member == null) {
            return Verdict.NOT_A_MEMBER;
        }
        if (record.sequence() <= member.sequence()) {
            return Verdict.DUPLICATE;
        }
        members.put(record.writer(), member.withSequence(record.sequence()));
        return Verdict.ACCEPTED;
    }

    /**
     * Takes a member's renewal.
     *
     * @param record  the record, already admitted
     * @param renewal its content
     * @return the verdict
     */
    public Verdict renewed(LogRecord record, MemberRenewed renewal) {
        Member before = members.get(record.writer());
        if (before != null && renewal.leaving() && !before.leaving()) {
            changedOffset = record.offset();
        }
        members.computeIfPresent(
                record.writer(),
                (id, member) -> member.withRenewal(record.offset(), renewal.appliedOffset(), renewal.leaving()));
        return Verdict.ACCEPTED;
    }

    /**
     * Takes a member's own departure.
     *
     * @param record the record, already admitted
     * @return the verdict
     */
    public Verdict left(LogRecord record) {
        depart(record.writer(), record.offset());
        return Verdict.ACCEPTED;
    }

    /**
     * Takes the statement that a member's lease has ended.
     *
     * @param record the record, already admitted
     * @param gone   its content
     * @return accepted if the target's newest renewal is the one that the record names
     */
    public Verdict gone(LogRecord record, MemberGone gone) {
        Member target = members.get(gone.target());
        if (target == null || target.renewedOffset() != gone.supersedes()) {
            return Verdict.STALE;
        }
        depart(gone.target(), record.offset());
        return Verdict.ACCEPTED;
    }

    /**
     * Finds a member.
     *
     * @param incarnation its incarnation
     * @return the member, if it is one
     */
    public Optional<Member> find(Incarnation incarnation) {
        return Optional.ofNullable(members.get(incarnation));
    }

    /**
     * Tells all members.
     *
     * @return the members, ordered by incarnation
     */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /**
     * Tells where it last changed who is a member or leaving.
     *
     * @return the offset; -1 before the first member
     */
    public long changedOffset() {
        return changedOffset;
    }

    /**
     * Tells the incarnations that departed lately.
     *
     * @return the tombstones, oldest first
     */
    public List<Tombstone> tombstones() {
        return List.copyOf(tombstones);
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param restoredMembers    the members
     * @param restoredTombstones the tombstones, oldest first
     * @param upToOffset         the last offset that the state includes
     */
    public void restore(Collection<Member> restoredMembers, Collection<Tombstone> restoredTombstones, long upToOffset) {
        changedOffset = upToOffset;
        members.clear();
        tombstones.clear();
        departed.clear();
        restoredMembers.forEach(member -> members.put(member.incarnation(), member));
        restoredTombstones.forEach(this::remember);
    }

    /**
     * Removes a member and remembers that it departed.
     *
     * @param incarnation the member
     * @param offset      where it departed
     */
    private void depart(Incarnation incarnation, long offset) {
        members.remove(incarnation);
        changedOffset = offset;
        remember(new Tombstone(incarnation, offset));
    }

    /**
     * Adds a tombstone.
     *
     * @param tombstone the tombstone
     */
    private void remember(Tombstone tombstone) {
        tombstones.addLast(tombstone);
        departed.add(tombstone.incarnation());
    }

    /**
     * Forgets departures that no late join can follow any more.
     *
     * @param offset the offset before which to forget
     */
    private void forgetBefore(long offset) {
        while (!tombstones.isEmpty() && tombstones.peekFirst().departedOffset() < offset) {
            departed.remove(tombstones.removeFirst().incarnation());
        }
    }
}
