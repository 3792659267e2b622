package org.ragwortpitch.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.ledger.ReportMark.LedgerRange;

/**
 * Guards against a second report of a window whose first figures the ledger has lost, and against windows that are left
 * out although nothing is lost.
 */
class ReportMarkTest {

    private static final long CURRENT_WINDOW = 100;

    private static final long FIRST_WINDOW = 90;

    private static final long LEDGER_END = 50;

    @ParameterizedTest
    @CsvSource({
        "2, 2, 97, 40, 0, 97, the ledger is whole",
        "2, 2, 97, 40, 40, 97, the ledger holds all records since the mark",
        "2, 2, 97, 40, 41, 101, records since the mark have expired",
        "1, 2, 97, 40, 0, 101, the store came back from a copy since the mark",
        "2, 1, 97, 40, 0, 101, an answer of an earlier era came late"
    })
    void testWindowsAreLeftOutUnlessTheLedgerIsWholeSinceTheMark(
            long markEra, long era, long next, long offset, long firstOffset, long expected, String why) {
        ReportMark resumed = ReportMark.resume(
                Optional.of(new ReportMark(markEra, next, offset)),
                era,
                new LedgerRange(firstOffset, LEDGER_END),
                CURRENT_WINDOW,
                OptionalLong.of(FIRST_WINDOW));
        assertEquals(expected, resumed.nextWindow(), why);
        assertEquals(era, resumed.era());
    }

    @ParameterizedTest
    @CsvSource({"0, true, 90", "0, false, 101", "3, true, 101"})
    void testWithoutAMarkOnlyTheFirstStartOfTheFleetReportsEarlierWindows(
            long firstOffset, boolean firstStart, long expected) {
        ReportMark resumed = ReportMark.resume(
                Optional.empty(),
                1,
                new LedgerRange(firstOffset, LEDGER_END),
                CURRENT_WINDOW,
                firstStart ? OptionalLong.of(FIRST_WINDOW) : OptionalLong.empty());
        assertEquals(expected, resumed.nextWindow());
    }

    @Test
    void testMarkAdvancesWithinItsEra() {
        assertEquals(new ReportMark(3, 98, 60), new ReportMark(3, 97, 40).advanceTo(98, 60));
    }
}
