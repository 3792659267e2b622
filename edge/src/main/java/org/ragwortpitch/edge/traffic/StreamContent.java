package org.ragwortpitch.edge.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/**
 * What the head of a response says of its content.
 */
enum StreamContent {
    /** It is an event stream. */
    EVENTS,
    /** It may be one, as the head states no content type. */
    UNSTATED,
    /** It is something else. */
    OTHER;

    private static final String EVENT_STREAM = "text/event-stream";

    static StreamContent of(HttpHeaders headers) {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        if (type == null) {
            return UNSTATED;
        }
        return type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM) ? EVENTS : OTHER;
    }
}
