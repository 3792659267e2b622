package org.ragwortpitch.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.edge.standin.StandinAnswer;
import org.ragwortpitch.edge.standin.StandinEndpoint;

/**
 * What the endpoints of a run answered, to be compared with what callers got.
 */
final class EndpointAnswers {

    private static final int EVENTS = 5;

    private final Map<String, StandinAnswer> bySeal = new HashMap<>();
    private final Set<String> succeeded = new HashSet<>();
    private final Set<String> failed = new HashSet<>();

    EndpointAnswers(List<StandinEndpoint> endpoints) {
        for (StandinEndpoint endpoint : endpoints) {
            for (StandinAnswer answer : endpoint.answers()) {
                bySeal.put(answer.seal(), answer);
                (answer.status() == 200 ? succeeded : failed).add(answer.attemptId());
            }
        }
    }

    /** Returns whether a response bears the seal of an answer to its own request with its own status. */
    boolean isOwn(Outcome outcome) {
        StandinAnswer answer = bySeal.get(outcome.seal());
        return !outcome.seal().isEmpty()
                && answer != null
                && answer.attemptId().equals(outcome.attempt())
                && answer.status() == outcome.status();
    }

    /** Returns whether a response bears the seal of an answer to another request. */
    boolean isOfAnotherRequest(Outcome outcome) {
        StandinAnswer answer = bySeal.get(outcome.seal());
        return !outcome.seal().isEmpty()
                && answer != null
                && !answer.attemptId().equals(outcome.attempt());
    }

    /** Returns whether the body of a success is that of the endpoint that signed it, or all events of a stream. */
    boolean isWholeBody(Outcome outcome) {
        return outcome.body().equals(Optional.of(expectedBody(outcome)));
    }

    private static String expectedBody(Outcome outcome) {
        if (!outcome.isStream()) {
            return "done by " + outcome.seal().replaceAll("/.*", "") + " for " + outcome.attempt();
        }
        StringBuilder events = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            events.append("id: ")
                    .append(event)
                    .append("\ndata: ")
                    .append(outcome.attempt())
                    .append("\n\n");
        }
        return events.toString();
    }

    /** Returns whether an endpoint began a success for an attempt. */
    boolean hasSuccess(String attempt) {
        return succeeded.contains(attempt);
    }

    /** Returns whether an endpoint answered an attempt with a failure, and none with a success. */
    boolean hasOnlyFailures(String attempt) {
        return failed.contains(attempt) && !succeeded.contains(attempt);
    }
}
