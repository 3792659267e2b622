package org.ragwortpitch.placement;

import java.util.Optional;

/**
 * The engines that a generation is routed to.
 *
 * @param decodeEngine     the engine that decodes
 * @param prefillEngine    the engine that prefills the prompt; empty if the decode engine does so itself
 * @param firstEventMillis the estimated time to the first event, in milliseconds
 * @param waitMillis       the share of it that the prompt waits in the queue for its prefill, in milliseconds
 */
public record Placement(
        EngineState decodeEngine, Optional<EngineState> prefillEngine, double firstEventMillis, double waitMillis) {

    /** The share of the slack before the target that the most urgent requests may spend in the queue. */
    private static final double MAX_WAIT_SHARE = 1;

    /** How much smaller that share is for each further rank, so that the least urgent requests are shed first. */
    private static final double WAIT_SHARE_PER_RANK = 0.15;

    private static final double MIN_WAIT_SHARE = 0.5;

    /** Share of the target that prompts which miss it even without queueing may wait, so that they are served too. */
    private static final double LATE_PROMPT_WAIT_SHARE = 0.5;

    /**
     * Returns whether the queueing delay is short enough to admit the request. Behind a longer queue it would miss its
     * target and delay the requests behind it too, so it is better shed.
     *
     * @param targetMillis the target for the time to the first event, in milliseconds
     * @param priority     the priority rank; 0 is the most urgent
     */
    public boolean isAdmissible(int targetMillis, int priority) {
        double share = Math.max(MIN_WAIT_SHARE, MAX_WAIT_SHARE - WAIT_SHARE_PER_RANK * priority);
        double slackMillis = targetMillis - (firstEventMillis - waitMillis);
        return waitMillis <= Math.max(LATE_PROMPT_WAIT_SHARE * targetMillis, share * slackMillis);
    }
}
