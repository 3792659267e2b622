package org.ragwortpitch.edge.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;

/**
 * Checks where a request's body ends. A request that two programs could delimit differently is refused, so that none
 * can be hidden inside another (RFC 9112, section 6.3).
 */
final class Framing {

    private Framing() {}

    /**
     * Finds what is wrong with a request's head.
     */
    static Optional<String> problem(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return Optional.of("the request can't be read");
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            return Optional.of("send Content-Length or Transfer-Encoding, not both");
        }
        if (new HashSet<>(lengths).size() > 1 || lengths.stream().anyMatch(value -> !value.matches("\\d{1,18}"))) {
            return Optional.of("send one Content-Length of digits only");
        }
        if (encodings.size() > 1 || encodings.stream().anyMatch(value -> !"chunked".equalsIgnoreCase(value.trim()))) {
            return Optional.of("send no Transfer-Encoding but chunked");
        }
        if (head.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return Optional.of("send one Host");
        }
        return Optional.empty();
    }
}
