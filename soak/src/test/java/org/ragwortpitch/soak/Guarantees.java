package org.ragwortpitch.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.standin.DutyCall;
import org.ragwortpitch.edge.standin.StandinEndpoint;

/**
 * Checks what callers, endpoints and the store observed against the guarantees of the system.
 */
final class Guarantees {

    private static final Set<String> AT_MOST_ONCE_ROUTES = Set.of("book", "once");

    /** HTTP statuses which state that the request was not executed and will not be. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final List<String> violations = new ArrayList<>();
    private final EndpointAnswers answers;

    private Guarantees(EndpointAnswers answers) {
        this.answers = answers;
    }

    /**
     * Checks the observations of one run.
     *
     * @param planned whether the run had planned operations only, during which no executed request may be cut off
     * @return a description of each violation
     */
    static List<String> violations(SoakWorld world, List<Outcome> outcomes, boolean planned) {
        Guarantees guarantees = new Guarantees(new EndpointAnswers(world.endpoints()));
        Map<String, Long> runs = new HashMap<>();
        for (StandinEndpoint endpoint : world.endpoints()) {
            endpoint.executedRequests().forEach(run -> {
                runs.merge(run.get(Headers.ATTEMPT), 1L, Long::sum);
                guarantees.check("families".equals(run.get(Headers.ACCOUNT)), "run without its client account");
                guarantees.check(!run.contains(Headers.AUTHORIZATION), "an endpoint received an API key");
            });
        }
        Set<String> sentAttempts = outcomes.stream().map(Outcome::attempt).collect(Collectors.toSet());
        runs.keySet()
                .forEach(attempt ->
                        guarantees.check(sentAttempts.contains(attempt), "run without a request: " + attempt));
        outcomes.forEach(outcome -> guarantees.check(outcome, runs.getOrDefault(outcome.attempt(), 0L), planned));
        guarantees.checkDuties(world.store().dutyCalls());
        world.daemons()
                .forEach(daemon ->
                        guarantees.check(!daemon.exitedUnexpectedly(), daemon.name() + " exited unexpectedly"));
        return guarantees.violations;
    }

    /**
     * Returns a description of each response that is not the answer of an endpoint to the same request.
     */
    static List<String> wrongAnswers(List<Outcome> outcomes, EndpointAnswers answers) {
        Guarantees guarantees = new Guarantees(answers);
        outcomes.forEach(guarantees::checkAnswer);
        return guarantees.violations;
    }

    private void checkAnswer(Outcome outcome) {
        if (outcome.isServed()) {
            check(answers.isWholeBody(outcome), "incomplete response or body of another one: " + outcome);
            check(answers.isOwn(outcome), "success that is not the answer to this request: " + outcome);
        }
        check(
                outcome.seal().isEmpty() || answers.isOwn(outcome),
                "seal of an answer to another request or with another status: " + outcome);
    }

    private void check(Outcome outcome, long runs, boolean planned) {
        checkAnswer(outcome);
        if (AT_MOST_ONCE_ROUTES.contains(outcome.route())) {
            check(runs <= 1, "ran " + runs + " times: " + outcome);
            check(!NOT_RUN.contains(outcome.status()) || runs == 0, "reported as not run, but ran: " + outcome);
        }
        if (outcome.isServed()) {
            check(runs > 0, "served without a run: " + outcome);
        }
        check(
                outcome.status() != 401 && outcome.status() != 404,
                "denied with a valid key on an existing route: " + outcome);
        check(!planned || !outcome.cut() || runs == 0, "cut off during a planned operation: " + outcome);
    }

    private void checkDuties(List<DutyCall> calls) {
        Map<String, String> holders = new HashMap<>();
        Map<String, String> reports = new HashMap<>();
        for (DutyCall call : calls) {
            String holder = holders.putIfAbsent(call.path() + call.token(), call.holder());
            check(holder == null || holder.equals(call.holder()), "two holders with one fencing token: " + call);
            if ("/usage".equals(call.path())) {
                String window = call.body().replaceAll(".*\"Window\":(\\d+).*", "$1");
                String figures = call.body().replaceAll(".*\"Counts\":(\\{[^}]*}).*", "$1");
                String before = reports.putIfAbsent(window, figures);
                check(
                        before == null || before.equals(figures),
                        "differing reports of one usage window: " + before + " and " + call);
            }
        }
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }
}
