package org.ragwortpitch.placement;

import java.util.Optional;

/**
 * Where a generation goes.
 *
 * @param decoder       makes the tokens
 * @param reader        reads the prompt for it; empty if the decoder reads it itself
 * @param firstMillis   the estimated time to the first event, in milliseconds
 * @param waitMillis    the part of it that goes by before the prompt's turn to be read, in milliseconds
 */
public record Placement(Engine decoder, Optional<Engine> reader, double firstMillis, double waitMillis) {

    /** The part of the time to spare that the most urgent requests may wait for their turn. */
    private static final double MOST_WAIT_SHARE = 1;

    /** How much less of it each further rank may wait, so that the least urgent give way first. */
    private static final double RANK_SHARE = 0.15;

    private static final double LEAST_WAIT_SHARE = 0.5;

    /** Prompts that take longer than their target by themselves may wait this part of it: they are served too. */
    private static final double LONG_WAIT_SHARE = 0.5;

    /**
     * Tells whether a request's turn comes soon enough that letting it in is of more use than sending it away: behind a
     * longer queue it would be late, and make those behind it late.
     *
     * @param targetMillis within which the first event is on time, in milliseconds
     * @param urgency      0 is the most urgent
     */
    public boolean isWorthWaiting(int targetMillis, int urgency) {
        double share = Math.max(LEAST_WAIT_SHARE, MOST_WAIT_SHARE - RANK_SHARE * urgency);
        double spareMillis = targetMillis - (firstMillis - waitMillis);
        return waitMillis <= Math.max(LONG_WAIT_SHARE * targetMillis, share * spareMillis);
    }
}
