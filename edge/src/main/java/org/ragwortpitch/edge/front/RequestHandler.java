package org.ragwortpitch.edge.front;

import org.ragwortpitch.edge.http.Cancellation;

/**
 * Handles requests of callers.
 */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request. The response is sent during the call or later, on the same thread.
     *
     * @return cancelled if the caller disconnects before the end of the response
     */
    Cancellation handle(CallerRequest request, CallerResponse response);
}
