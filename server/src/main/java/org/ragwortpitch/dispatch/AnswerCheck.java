package org.ragwortpitch.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineEvent;

/**
 * Checks that each event belongs to the attempt that was asked for and comes next, and gathers the tokens, so that a
 * later attempt resumes where this one broke off. Used by one stream at a time.
 */
final class AnswerCheck {

    /**
     * The tokens that the caller has or is about to get.
     */
    private final List<String> tokens = new ArrayList<>();

    /**
     * The attempt under way.
     */
    private AttemptId attempt;

    /**
     * Whether the finish has come.
     */
    private boolean finished;

    /**
     * Begins an attempt.
     *
     * @param next the attempt
     */
    void begin(AttemptId next) {
        attempt = next;
    }

    /**
     * Takes an event.
     *
     * @param event the event
     * @return the event alone; nothing if the caller has it already
     * @throws BadAnswerException if it does not belong here
     */
    List<EngineEvent> take(EngineEvent event) throws BadAnswerException {
        if (!event.id().equals(attempt)) {
            throw new BadAnswerException(AnswerFault.CROSSED);
        }
        if (finished) {
            throw new BadAnswerException(AnswerFault.AFTER_FINISH);
        }
        if (event.index() > tokens.size()) {
            throw new BadAnswerException(AnswerFault.GAP);
        }
        if (event.finishes()) {
            if (event.index() != tokens.size()) {
                throw new BadAnswerException(AnswerFault.GAP);
            }
            finished = true;
            return List.of(event);
        }
        if (event.index() < tokens.size()) {
            return List.of();
        }
        tokens.add(event.text());
        return List.of(event);
    }

    /**
     * Tells the tokens so far.
     *
     * @return the tokens
     */
    List<String> tokens() {
        return List.copyOf(tokens);
    }

    /**
     * Counts the tokens so far.
     *
     * @return the count
     */
    int size() {
        return tokens.size();
    }

    /**
     * Tells whether the finish has come.
     *
     * @return whether it has
     */
    boolean isFinished() {
        return finished;
    }
}
