package org.ragwortpitch.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;

/**
 * Holds what callers and endpoints have seen against what is promised.
 */
final class Promises {

    private static final Set<String> ONCE = Set.of("book", "once");

    /** Statuses that say that a request has not run and won't. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final String STREAM =
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n";

    private final List<String> broken = new ArrayList<>();

    /**
     * Checks one run.
     *
     * @param planned whether there was planned work only, around which no request is cut
     * @return what is broken
     */
    static List<String> broken(SoakWorld world, List<Outcome> outcomes, boolean planned) {
        Promises promises = new Promises();
        Map<String, Long> runs = new HashMap<>();
        for (StandinEndpoint endpoint : world.endpoints()) {
            endpoint.runs().forEach(run -> {
                runs.merge(run.get(Headers.ATTEMPT), 1L, Long::sum);
                promises.check("families".equals(run.get(Headers.ACCOUNT)), "run without its account");
                promises.check(!run.contains(Headers.AUTHORIZATION), "an endpoint got a key");
            });
        }
        Set<String> asked = outcomes.stream().map(Outcome::attempt).collect(Collectors.toSet());
        runs.keySet()
                .forEach(attempt -> promises.check(asked.contains(attempt), "run that nobody asked for " + attempt));
        outcomes.forEach(outcome -> promises.check(outcome, runs.getOrDefault(outcome.attempt(), 0L), planned));
        promises.duties(world.store().dutyCalls());
        world.daemons().forEach(daemon -> promises.check(!daemon.endedByItself(), daemon.name() + " ended by itself"));
        return promises.broken;
    }

    private void check(Outcome outcome, long runs, boolean planned) {
        if (ONCE.contains(outcome.route())) {
            check(runs <= 1, "ran " + runs + " times: " + outcome);
            check(!NOT_RUN.contains(outcome.status()) || runs == 0, "said not to have run, but did: " + outcome);
        }
        if (outcome.isServed()) {
            String body = outcome.body().orElseThrow();
            boolean whole = "ask".equals(outcome.route()) || "once".equals(outcome.route())
                    ? STREAM.equals(body)
                    : body.startsWith("done by i-app-");
            check(whole && outcome.signed(), "no whole answer of an endpoint: " + outcome);
            check(runs > 0, "served without a run: " + outcome);
        }
        check(outcome.status() != 401 && outcome.status() != 404, "denied: " + outcome);
        check(!planned || !outcome.cut() || runs == 0, "cut around planned work: " + outcome);
    }

    private void duties(List<StandinStore.DutyCall> calls) {
        Map<String, String> holders = new HashMap<>();
        Map<String, String> reports = new HashMap<>();
        for (StandinStore.DutyCall call : calls) {
            String holder = holders.putIfAbsent(call.path() + call.token(), call.holder());
            check(holder == null || holder.equals(call.holder()), "two holders with one token: " + call);
            if ("/usage".equals(call.path())) {
                String window = call.body().replaceAll(".*\"Window\":(\\d+).*", "$1");
                String figures = call.body().replaceAll(".*\"Counts\":(\\{[^}]*}).*", "$1");
                String before = reports.putIfAbsent(window, figures);
                check(before == null || before.equals(figures), "two reports of a window: " + before + " and " + call);
            }
        }
    }

    private void check(boolean kept, String what) {
        if (!kept) {
            broken.add(what);
        }
    }
}
