package org.ragwortpitch.edge.traffic;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.contract.Headers;

/**
 * Which headers go on to the other side: all but those of one connection (RFC 9110, section 7.6.1) and, from callers,
 * those that are the system's to set.
 */
final class ForwardHeaders {

    private static final Set<String> OF_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private ForwardHeaders() {}

    /**
     * Copies the headers of a request.
     */
    static HttpHeaders ofRequest(HttpHeaders sent) {
        Set<String> dropped = named(sent);
        dropped.addAll(Headers.SYSTEM_ONLY);
        return copy(sent, dropped);
    }

    /**
     * Copies the headers of an answer.
     */
    static HttpHeaders ofAnswer(HttpHeaders sent) {
        return copy(sent, named(sent));
    }

    /**
     * Finds the headers that the sender calls its connection's own. Those with a meaning here can't be among them.
     */
    private static Set<String> named(HttpHeaders sent) {
        Set<String> names = new HashSet<>();
        for (String value : sent.getAll("connection")) {
            for (String name : value.toLowerCase(Locale.ROOT).split(",")) {
                if (!name.trim().startsWith(Headers.PREFIX) && !Headers.LAST_EVENT.equals(name.trim())) {
                    names.add(name.trim());
                }
            }
        }
        names.remove("host");
        names.remove("content-type");
        names.addAll(OF_CONNECTION);
        return names;
    }

    private static HttpHeaders copy(HttpHeaders sent, Set<String> dropped) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : sent) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
