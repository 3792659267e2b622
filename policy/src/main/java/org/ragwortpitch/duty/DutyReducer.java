package org.ragwortpitch.duty;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.DutyClaimed;
import org.ragwortpitch.controllog.DutyReleased;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;

/**
 * Applies claims and releases of duties from the log. A duty is vacant when it has no holder or its holder is no longer
 * a member, so that duties need no lease of their own besides the membership lease. Confined to one thread.
 */
public final class DutyReducer {

    /** The current terms of the held duties. */
    private final Map<DutyId, DutyTerm> terms = new TreeMap<>();

    /**
     * Applies a claim by a member.
     *
     * @param record the record, already admitted
     * @return accepted if the duty was vacant, otherwise {@link ApplyResult#STALE}
     */
    public ApplyResult applyClaim(LogRecord record, DutyClaimed claim) {
        if (terms.containsKey(claim.duty())) {
            return ApplyResult.STALE;
        }
        terms.put(claim.duty(), new DutyTerm(claim.duty(), record.writer(), record.offset()));
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies a release.
     *
     * @param record the record, already admitted
     * @return accepted if the writer held that term, otherwise {@link ApplyResult#STALE}
     */
    public ApplyResult applyRelease(LogRecord record, DutyReleased release) {
        if (!isCurrent(release.duty(), release.term(), record.writer())) {
            return ApplyResult.STALE;
        }
        terms.remove(release.duty());
        return ApplyResult.ACCEPTED;
    }

    /** Vacates the duties of a member that departed. */
    public void vacateHeldBy(Incarnation holder) {
        terms.values().removeIf(term -> term.holder().equals(holder));
    }

    /** Returns whether a term is the duty's current one and is held by the given member. */
    public boolean isCurrent(DutyId duty, long term, Incarnation holder) {
        DutyTerm current = terms.get(duty);
        return current != null && current.term() == term && current.holder().equals(holder);
    }

    /** Returns the current term of a duty, or empty if the duty is vacant. */
    public Optional<DutyTerm> find(DutyId duty) {
        return Optional.ofNullable(terms.get(duty));
    }

    /** Returns the current terms of all held duties, ordered by duty. */
    public List<DutyTerm> terms() {
        return List.copyOf(terms.values());
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param restored the current terms of the held duties
     */
    public void restore(Collection<DutyTerm> restored) {
        terms.clear();
        restored.forEach(term -> terms.put(term.duty(), term));
    }
}
