package org.ragwortpitch.edge.front;

import org.ragwortpitch.edge.http.Cancellation;

/**
 * Answers requests of callers.
 */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Answers a request, now or later, on the same thread.
     *
     * @return called if the caller leaves before the answer's end
     */
    Cancellation handle(CallerRequest request, CallerAnswer answer);
}
