package org.ragwortpitch.edge.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;

/**
 * Checks that the end of a request's body is unambiguous. A request that two HTTP implementations could delimit
 * differently is refused, which prevents request smuggling (RFC 9112, section 6.3).
 */
final class Framing {

    private Framing() {}

    /**
     * Returns what is wrong with a request's head, as a message for the caller; empty if it is valid.
     */
    static Optional<String> problem(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return Optional.of("malformed HTTP request");
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            return Optional.of("send either Content-Length or Transfer-Encoding, not both");
        }
        if (new HashSet<>(lengths).size() > 1 || lengths.stream().anyMatch(value -> !value.matches("\\d{1,18}"))) {
            return Optional.of("send a single Content-Length of at most 18 digits");
        }
        if (encodings.size() > 1 || encodings.stream().anyMatch(value -> !"chunked".equalsIgnoreCase(value.trim()))) {
            return Optional.of("chunked is the only supported Transfer-Encoding");
        }
        if (head.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return Optional.of("send at most one Host header");
        }
        return Optional.empty();
    }
}
