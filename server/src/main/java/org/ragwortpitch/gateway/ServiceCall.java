package org.ragwortpitch.gateway;

import java.util.List;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * A call of a plain service, reduced to what the service may see. API keys are not forwarded.
 *
 * @param method       the method
 * @param pathAndQuery the path and query
 * @param headers      the headers to forward
 * @param entity       the body
 */
record ServiceCall(HttpMethod method, String pathAndQuery, List<HttpHeader> headers, HttpEntity.Strict entity) {

    private static final List<String> FORWARDED_HEADERS = List.of("accept", "accept-language", "idempotency-key");

    /**
     * Returns the call to forward for a request.
     *
     * @param request the request
     * @param entity  its body
     * @return the call
     */
    static ServiceCall of(HttpRequest request, HttpEntity.Strict entity) {
        List<HttpHeader> headers = new java.util.ArrayList<>();
        for (HttpHeader header : request.getHeaders()) {
            if (FORWARDED_HEADERS.contains(header.lowercaseName())) {
                headers.add(header);
            }
        }
        String query = request.getUri()
                .rawQueryString()
                .map(rawQuery -> "?" + rawQuery)
                .orElse("");
        return new ServiceCall(request.method(), request.getUri().getPathString() + query, headers, entity);
    }
}
