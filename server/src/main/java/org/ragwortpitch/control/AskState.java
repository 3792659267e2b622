package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.ragwortpitch.journal.ControlFold;

/**
 * Someone asks for a value of control state.
 *
 * @param query what to ask of the log as applied; it must not keep the fold
 * @param result   gets the answer
 * @param <T>      the type of the answer
 */
public record AskState<T>(Function<ControlFold, T> query, CompletableFuture<T> result) implements ControlMessage {

    /**
     * Asks.
     *
     * @param fold the log as applied
     */
    void answer(ControlFold fold) {
        result.complete(query.apply(fold));
    }
}
