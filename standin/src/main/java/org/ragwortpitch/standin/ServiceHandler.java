package org.ragwortpitch.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.http.HttpResponses;

/**
 * Serves the HTTP interface of a plain service, which echoes each request and counts the executions per idempotency
 * key.
 */
final class ServiceHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * Pekko's {@code Function} is serializable; instances are never serialized.
     */
    private static final long serialVersionUID = 1;

    private static final long BODY_TIMEOUT_MILLIS = 5_000;

    private final transient ClassicActorSystemProvider system;

    private final transient FaultSwitch faults;

    /**
     * Executions per idempotency key, guarded by itself.
     */
    private final transient Map<String, Integer> executions;

    /**
     * Creates a handler.
     *
     * @param system     the actor system that the connections belong to
     * @param faults     the faults to inject
     * @param executions counts executions per idempotency key, shared by the services of a pool
     */
    ServiceHandler(ClassicActorSystemProvider system, FaultSwitch faults, Map<String, Integer> executions) {
        this.system = system;
        this.faults = faults;
        this.executions = executions;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        if (request.getUri().path().equals("/standin/runs")) {
            synchronized (executions) {
                return EngineHandler.completed(HttpResponses.json(200, new TreeMap<>(executions)));
            }
        }
        return request.entity().toStrict(BODY_TIMEOUT_MILLIS, system).thenCompose(entity -> {
            String operation = header(request, "idempotency-key");
            int count;
            synchronized (executions) {
                count = operation.isEmpty() ? 0 : executions.merge(operation, 1, Integer::sum);
            }
            if (faults.hits(faults.get().serviceAnswersLostPermille())) {
                return new CompletableFuture<>();
            }
            ServiceResponse response = new ServiceResponse(
                    request.method().name(),
                    request.getUri().path(),
                    operation,
                    count,
                    entity.getData().utf8String(),
                    List.copyOf(headerLines(request)));
            return EngineHandler.completed(HttpResponses.json(200, response));
        });
    }

    /**
     * Returns a header's value, or an empty string if it is missing; {@code name} is in lower case.
     */
    private static String header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value).orElse("");
    }

    /**
     * Lists the headers, so that a test can check that no API key is forwarded to the service.
     */
    private static List<String> headerLines(HttpRequest request) {
        java.util.ArrayList<String> lines = new java.util.ArrayList<>();
        request.getHeaders().forEach(header -> lines.add(header.lowercaseName() + ": " + header.value()));
        return lines;
    }
}
