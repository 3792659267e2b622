package org.ragwortpitch.soak;

import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Counts what callers got from endpoints that stutter, a line for each kind of request.
 */
final class StutterTable {

    private StutterTable() {}

    static String of(ExtraAnswer extra, List<Outcome> outcomes, EndpointAnswers answers) {
        StringBuilder table = new StringBuilder();
        outcomes.stream()
                .collect(Collectors.groupingBy(StutterTable::kind, TreeMap::new, Collectors.toList()))
                .forEach((kind, of) -> table.append("extra answers " + extra + ", " + kind + ": ")
                        .append(line(of, answers))
                        .append('\n'));
        return table.toString();
    }

    private static String kind(Outcome outcome) {
        return outcome.isStream() ? "stream " + outcome.framing() : outcome.route();
    }

    private static String line(List<Outcome> of, EndpointAnswers answers) {
        Predicate<Outcome> success = Outcome::isServed;
        Predicate<Outcome> wrong = outcome ->
                !outcome.seal().isEmpty() && !answers.isOwn(outcome) || outcome.isServed() && !answers.isOwn(outcome);
        Predicate<Outcome> badGateway = outcome -> outcome.status() == 502;
        return "requests " + of.size()
                + ", successes " + count(of, success)
                + ", successes that are another answer " + count(of, success.and(wrong))
                + ", of these where the endpoint failed "
                + count(of, success.and(wrong).and(outcome -> answers.hasOnlyFailures(outcome.attempt())))
                + ", of these with another request's seal "
                + count(of, success.and(wrong).and(answers::isOfAnotherRequest))
                + ", successes with another body " + count(of, success.and(outcome -> !answers.isWholeBody(outcome)))
                + ", failures that are another answer "
                + count(of, success.negate().and(wrong))
                + ", 502 " + count(of, badGateway)
                + ", 502 where the endpoint succeeded "
                + count(of, badGateway.and(outcome -> answers.hasSuccess(outcome.attempt())))
                + ", cut " + count(of, Outcome::cut)
                + ", statuses "
                + of.stream().collect(Collectors.groupingBy(Outcome::status, TreeMap::new, Collectors.counting()));
    }

    private static long count(List<Outcome> of, Predicate<Outcome> predicate) {
        return of.stream().filter(predicate).count();
    }
}
