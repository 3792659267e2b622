package org.ragwortpitch.edge.front;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes the responses to one caller, and leaves out the body of a response to HEAD, which the caller would read as
 * its next response.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

    private boolean headOnly;

    /**
     * Sets the method of the request whose response comes next.
     */
    void expectResponseTo(HttpMethod method) {
        headOnly = HttpMethod.HEAD.equals(method);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse message) {
        return headOnly || super.isContentAlwaysEmpty(message);
    }
}
