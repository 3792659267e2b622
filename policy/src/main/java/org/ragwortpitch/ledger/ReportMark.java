package org.ragwortpitch.ledger;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * How far usage has been reported. The mark is written before the figures of a window are frozen, so that a later
 * reporter can tell whether the ledger still holds them.
 *
 * @param era          the store's era in which it was written; 0 if the store states none
 * @param nextWindow   the oldest window that may still be reported
 * @param ledgerOffset an offset of the ledger before any figures that were frozen of that window or a later one
 */
public record ReportMark(long era, long nextWindow, long ledgerOffset) {

    /** A mark of no era, from which no reporter goes on. */
    public static final ReportMark UNKNOWN = new ReportMark(-1, 0, 0);

    /**
     * Returns the mark from which a reporter goes on. Unless the ledger is known to hold all that was frozen since the
     * stored mark, every window that has begun may have been reported with figures that are gone, and is left out.
     *
     * @param stored        the newest mark in the store; empty if there is none
     * @param era           the store's present era; 0 if it states none
     * @param ledger        what was read of the ledger
     * @param currentWindow the window of the present time
     * @param firstWindow   the window in which the whole fleet started for the first time, if that was with this
     *                      daemon, and if the store hasn't come back from an older copy since
     */
    public static ReportMark resume(
            Optional<ReportMark> stored, long era, LedgerRange ledger, long currentWindow, OptionalLong firstWindow) {
        if (stored.isEmpty() && firstWindow.isPresent() && ledger.firstOffset() == 0) {
            return new ReportMark(era, firstWindow.getAsLong(), 0);
        }
        return stored.filter(mark -> mark.era() == era && ledger.firstOffset() <= mark.ledgerOffset())
                .orElseGet(() -> new ReportMark(era, currentWindow + 1, ledger.endOffset()));
    }

    /**
     * Returns the mark to write before the figures of a window are frozen, all earlier ones being reported.
     */
    public ReportMark advanceTo(long window, long ledgerEnd) {
        return new ReportMark(era, window, ledgerEnd);
    }

    /**
     * A part of the ledger that was read without a gap.
     *
     * @param firstOffset the offset of its first record
     * @param endOffset   the offset after its last record
     */
    public record LedgerRange(long firstOffset, long endOffset) {}
}
