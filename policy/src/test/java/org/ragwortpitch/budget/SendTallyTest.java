package org.ragwortpitch.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against sends that arrive at an endpoint but are left out of the retry budget.
 */
class SendTallyTest {

    /** Sends in order: r a run, p a prefill that is not accepted, P one that is, u a send that never left. */
    @ParameterizedTest
    @CsvSource({
        "r, 0",
        "u, 0",
        "ur, 0",
        "uur, 0",
        "p, 0",
        "P, 0",
        "Pr, 0",
        "rr, 1",
        "Prr, 1",
        "pr, 1",
        "pPr, 1",
        "ppr, 2",
        "PuPr, 1",
        "PPr, 1",
        "PrPr, 2",
        "uPuPur, 1",
    })
    void testSendsThatMayHaveArrivedAreRepeats(String sends, int expected) {
        SendTally tally = new SendTally();
        sends.chars().forEach(send -> record(tally, send));
        assertEquals(expected, tally.repeats());
    }

    /** A plan of sends after earlier ones: d a run alone, pd a prefill and a run. */
    @ParameterizedTest
    @CsvSource({
        "'', d, 0",
        "'', pd, 0",
        "P, d, 0",
        "Pr, d, 1",
        "Pu, d, 0",
        "Pu, pd, 1",
        "p, pd, 1",
        "p, d, 1",
        "Pr, pd, 2",
        "u, d, 0"
    })
    void testPlanIsCoveredForTheSendsThatMayArrive(String sends, String plan, int expected) {
        SendTally tally = new SendTally();
        sends.chars().forEach(send -> record(tally, send));
        assertEquals(expected, tally.repeatsAfter(plan.length(), plan.startsWith("p")));
    }

    private static void record(SendTally tally, int send) {
        tally.recordSend();
        if (send == 'u') {
            tally.recordNotSent();
        } else if (send == 'P') {
            tally.recordPrefillAccepted();
        }
    }
}
