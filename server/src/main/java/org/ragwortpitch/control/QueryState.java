package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.ragwortpitch.controllog.ControlStateReducer;

/**
 * A query for a value of the control state, evaluated on the control thread.
 *
 * @param query  computes the value; it must not retain its argument, which is confined to the control thread
 * @param result completed with the value
 * @param <T>    the type of the value
 */
public record QueryState<T>(Function<ControlStateReducer, T> query, CompletableFuture<T> result)
        implements ControlMessage {

    /**
     * Evaluates the query. Called on the control thread.
     *
     * @param reducer the control state
     */
    void answer(ControlStateReducer reducer) {
        result.complete(query.apply(reducer));
    }
}
