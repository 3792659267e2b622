package org.ragwortpitch.duty;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.DutyClaimed;
import org.ragwortpitch.journal.DutyReleased;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;

/**
 * Folds claims and releases of duties. A duty is vacant when nobody holds it or its holder is no longer a member, so
 * that the membership lease is the only lease there is. Confined to one thread.
 */
public final class DutyFold {

    /**
     * The held duties.
     */
    private final Map<DutyId, DutyTerm> terms = new TreeMap<>();

    /**
     * Takes a claim by a member.
     *
     * @param record the record, already admitted
     * @param claim  its content
     * @return accepted if the duty was vacant
     */
    public Verdict claimed(LogRecord record, DutyClaimed claim) {
        if (terms.containsKey(claim.duty())) {
            return Verdict.STALE;
        }
        terms.put(claim.duty(), new DutyTerm(claim.duty(), record.writer(), record.offset()));
        return Verdict.ACCEPTED;
    }

    /**
     * Takes a release.
     *
     * @param record  the record, already admitted
     * @param release its content
     * @return accepted if the writer held that term
     */
    public Verdict released(LogRecord record, DutyReleased release) {
        if (!isCurrent(release.duty(), release.term(), record.writer())) {
            return Verdict.STALE;
        }
        terms.remove(release.duty());
        return Verdict.ACCEPTED;
    }

    /**
     * Vacates the duties of a member that departed.
     *
     * @param holder the member
     */
    public void departed(Incarnation holder) {
        terms.values().removeIf(term -> term.holder().equals(holder));
    }

    /**
     * Tells whether a term is the current one and in these hands.
     *
     * @param duty   the duty
     * @param term   the term
     * @param holder the supposed holder
     * @return whether it is so
     */
    public boolean isCurrent(DutyId duty, long term, Incarnation holder) {
        DutyTerm current = terms.get(duty);
        return current != null && current.term() == term && current.holder().equals(holder);
    }

    /**
     * Finds the holder of a duty.
     *
     * @param duty the duty
     * @return its term, if it is held
     */
    public Optional<DutyTerm> find(DutyId duty) {
        return Optional.ofNullable(terms.get(duty));
    }

    /**
     * Tells all held duties.
     *
     * @return the terms, ordered by duty
     */
    public List<DutyTerm> terms() {
        return List.copyOf(terms.values());
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param restored the held duties
     */
    public void restore(Collection<DutyTerm> restored) {
        terms.clear();
        restored.forEach(term -> terms.put(term.duty(), term));
    }
}
