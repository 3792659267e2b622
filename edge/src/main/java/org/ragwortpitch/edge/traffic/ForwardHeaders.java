package org.ragwortpitch.edge.traffic;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.adapter.Headers;

/**
 * Selects the headers to forward: all except hop-by-hop headers (RFC 9110, section 7.6.1) and, in requests of callers,
 * headers that only the system may set.
 */
final class ForwardHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
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
     * Copies the headers of a request that go on to an endpoint.
     */
    static HttpHeaders ofRequest(HttpHeaders sent) {
        Set<String> dropped = hopByHopNames(sent);
        dropped.addAll(Headers.SYSTEM_ONLY);
        return copy(sent, dropped);
    }

    /**
     * Copies the headers of a request that go on to another daemon, which does the rest.
     */
    static HttpHeaders ofProxiedRequest(HttpHeaders sent) {
        return copy(sent, hopByHopNames(sent));
    }

    /**
     * Copies the headers of a response that go on to the caller.
     */
    static HttpHeaders ofResponse(HttpHeaders sent) {
        return copy(sent, hopByHopNames(sent));
    }

    /**
     * Returns the hop-by-hop headers, including those that the sender lists in Connection. Headers that the system
     * reads are never among them, so that a sender can't suppress them.
     */
    private static Set<String> hopByHopNames(HttpHeaders sent) {
        Set<String> names = new HashSet<>();
        for (String value : sent.getAll("connection")) {
            for (String name : value.toLowerCase(Locale.ROOT).split(",")) {
                if (!name.trim().startsWith(Headers.PLATFORM_PREFIX) && !Headers.LAST_EVENT.equals(name.trim())) {
                    names.add(name.trim());
                }
            }
        }
        names.remove("host");
        names.remove("content-type");
        names.addAll(HOP_BY_HOP);
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
