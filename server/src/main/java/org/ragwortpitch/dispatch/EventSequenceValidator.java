package org.ragwortpitch.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.EngineEvent;

/**
 * Validates the event stream of an attempt: each event must carry the attempt's identifier and the next index. Collects
 * the generated tokens, so that a later attempt resumes after the last one received. Confined to one stream.
 */
final class EventSequenceValidator {

    /**
     * The tokens already emitted to the caller, or about to be.
     */
    private final List<String> tokens = new ArrayList<>();

    private AttemptId attempt;

    private boolean finished;

    /**
     * Begins an attempt; later events must carry its identifier.
     */
    void begin(AttemptId id) {
        attempt = id;
    }

    /**
     * Validates an event.
     *
     * @return the event, or an empty list if the caller already has the token
     * @throws InvalidStreamException if the event belongs to another attempt, follows the finish or leaves a gap
     */
    List<EngineEvent> accept(EngineEvent event) throws InvalidStreamException {
        if (!event.id().equals(attempt)) {
            throw new InvalidStreamException(StreamFault.CROSSED);
        }
        if (finished) {
            throw new InvalidStreamException(StreamFault.AFTER_FINISH);
        }
        if (event.index() > tokens.size()) {
            throw new InvalidStreamException(StreamFault.GAP);
        }
        if (event.endsStream()) {
            if (event.index() != tokens.size()) {
                throw new InvalidStreamException(StreamFault.GAP);
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
     * Returns a copy of the tokens received so far, of all attempts.
     */
    List<String> tokens() {
        return List.copyOf(tokens);
    }

    /**
     * Returns the number of tokens received so far, of all attempts.
     */
    int size() {
        return tokens.size();
    }

    boolean isFinished() {
        return finished;
    }
}
