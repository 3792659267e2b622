package org.ragwortpitch.edge.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ragwortpitch.deployment.CallerLimits;

/**
 * Why a request is refused before its end is known.
 *
 * @param message what the caller has to change
 */
record RejectedHead(HttpResponseStatus status, String message) {

    static final RejectedHead BODY_TOO_LONG =
            new RejectedHead(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body too long: send a shorter one");

    static final RejectedHead MALFORMED_BODY =
            new RejectedHead(HttpResponseStatus.BAD_REQUEST, "malformed chunked body");

    static final RejectedHead HEAD_TOO_SLOW = new RejectedHead(
            HttpResponseStatus.REQUEST_TIMEOUT, "request headers incomplete after the timeout: send them faster");

    /**
     * Checks the head of a request; empty if it is accepted.
     */
    static Optional<RejectedHead> of(HttpRequest request, CallerLimits limits) {
        Throwable failure = request.decoderResult().cause();
        if (failure instanceof TooLongHttpHeaderException || failure instanceof TooLongHttpLineException) {
            return Optional.of(new RejectedHead(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "request line or headers too long: send shorter ones"));
        }
        Optional<String> problem = Framing.problem(request);
        if (problem.isPresent()) {
            return Optional.of(new RejectedHead(HttpResponseStatus.BAD_REQUEST, problem.get()));
        }
        return HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()
                ? Optional.of(BODY_TOO_LONG)
                : Optional.empty();
    }

    /**
     * Returns the response, after which the connection is closed.
     */
    DefaultFullHttpResponse response() {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(message + "\n", StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }
}
