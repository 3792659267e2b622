package org.ragwortpitch.gateway;

import java.util.List;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * A call of a plain service, without anything that the service must not see.
 *
 * @param method       the method
 * @param pathAndQuery the path with its query
 * @param headers      the headers that are handed on
 * @param entity       the body
 */
record ServiceCall(HttpMethod method, String pathAndQuery, List<HttpHeader> headers, HttpEntity.Strict entity) {

    /**
     * The headers that are handed on.
     */
    private static final List<String> HANDED_ON = List.of("accept", "accept-language", "idempotency-key");

    /**
     * Takes over what a service may see of a request.
     *
     * @param request the request
     * @param entity  its body
     * @return the call
     */
    static ServiceCall of(HttpRequest request, HttpEntity.Strict entity) {
        List<HttpHeader> headers = new java.util.ArrayList<>();
        for (HttpHeader header : request.getHeaders()) {
            if (HANDED_ON.contains(header.lowercaseName())) {
                headers.add(header);
            }
        }
        String query = request.getUri().rawQueryString().map(text -> "?" + text).orElse("");
        return new ServiceCall(request.method(), request.getUri().getPathString() + query, headers, entity);
    }
}
