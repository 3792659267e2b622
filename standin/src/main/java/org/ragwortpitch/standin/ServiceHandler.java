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
import org.ragwortpitch.http.Responses;

/**
 * Stands in for a plain service. It counts how often it ran each operation.
 */
final class ServiceHandler implements Function<HttpRequest, CompletionStage<HttpResponse>> {

    /**
     * The form of this class when it is sent elsewhere, which it never is.
     */
    private static final long serialVersionUID = 1;

    /**
     * How long reading a body may take, in milliseconds.
     */
    private static final long BODY_MILLIS = 5_000;

    /**
     * The actor system that the connections belong to.
     */
    private final transient ClassicActorSystemProvider system;

    /**
     * The faults.
     */
    private final transient FaultSwitch faults;

    /**
     * How often each operation ran.
     */
    private final transient Map<String, Integer> runs;

    /**
     * Makes a service.
     *
     * @param system the actor system that the connections belong to
     * @param faults the faults
     * @param runs   where to count operations, shared with the services of the same pool
     */
    ServiceHandler(ClassicActorSystemProvider system, FaultSwitch faults, Map<String, Integer> runs) {
        this.system = system;
        this.faults = faults;
        this.runs = runs;
    }

    @Override
    public CompletionStage<HttpResponse> apply(HttpRequest request) {
        if (request.getUri().path().equals("/standin/runs")) {
            synchronized (runs) {
                return EngineHandler.done(Responses.json(200, new TreeMap<>(runs)));
            }
        }
        return request.entity().toStrict(BODY_MILLIS, system).thenCompose(entity -> {
            String operation = header(request, "idempotency-key");
            int count;
            synchronized (runs) {
                count = operation.isEmpty() ? 0 : runs.merge(operation, 1, Integer::sum);
            }
            if (faults.hits(faults.get().serviceAnswersLostPermille())) {
                return new CompletableFuture<>();
            }
            ServiceAnswer answer = new ServiceAnswer(
                    request.method().name(),
                    request.getUri().path(),
                    operation,
                    count,
                    entity.getData().utf8String(),
                    List.copyOf(headerNames(request)));
            return EngineHandler.done(Responses.json(200, answer));
        });
    }

    /**
     * Finds a header's value.
     *
     * @param request the request
     * @param name    the header's name in lower case
     * @return the value, or an empty text
     */
    private static String header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value).orElse("");
    }

    /**
     * Lists the headers, so that a test sees that no key arrives.
     *
     * @param request the request
     * @return the names with their values
     */
    private static List<String> headerNames(HttpRequest request) {
        java.util.ArrayList<String> names = new java.util.ArrayList<>();
        request.getHeaders().forEach(header -> names.add(header.lowercaseName() + ": " + header.value()));
        return names;
    }
}
