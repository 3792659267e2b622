package org.ragwortpitch.gateway;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;

/**
 * A complete response of a plain service.
 *
 * @param status      the HTTP status
 * @param contentType the media type of the body; if empty, {@code application/octet-stream}
 * @param body        the body
 */
record ServiceReply(int status, String contentType, ByteString body) {

    /**
     * Returns the response for the caller.
     *
     * @param requestId the request's id
     * @return the response
     */
    HttpResponse toResponse(String requestId) {
        ContentType type = ContentTypes.parse(
                contentType.isEmpty() ? ContentTypes.APPLICATION_OCTET_STREAM.toString() : contentType);
        return HttpResponse.create()
                .withStatus(StatusCodes.get(status))
                .withEntity(HttpEntities.create(type, body))
                .addHeader(RawHeader.create("X-Request-Id", requestId));
    }
}
