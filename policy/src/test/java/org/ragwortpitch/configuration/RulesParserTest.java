package org.ragwortpitch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.AccountId;

/**
 * Guards parsing and validation of rules: invalid rules are rejected with the kind and place of each error, a path
 * matches whole segments only, and a difference contains only rules that were removed, added or changed.
 */
class RulesParserTest {

    private static final String ACCOUNT =
            "account a tokens-per-second=10 burst-tokens=20 requests-per-second=1 burst-requests=2 # Ana";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "account a tokens-per-second=1                        | NOBODY_ASKED      | 30",
                "account a tokens-per-second=1 #                      | NOBODY_ASKED      | 32",
                "acount a # Ana                                       | UNKNOWN_KIND      | 1",
                "account # Ana                                        | BAD_ID            | 1",
                "failure-domain !! # Ana                              | BAD_ID            | 1",
                "failure-domain f colour=red # Ana                    | BAD_ATTRIBUTE     | 18",
                "pool p serves=model serves=model # Ana               | BAD_ATTRIBUTE     | 21",
                "pool p serves=poems # Ana                            | BAD_VALUE         | 8",
                "pool p serves=model concurrency=-1 # Ana             | BAD_VALUE         | 21",
                "pool p serves=model concurrency=99999999999999999999 # Ana | BAD_VALUE   | 21",
                "pool p # Ana                                         | MISSING_ATTRIBUTE | 1",
                "endpoint e pool=p failure-domain=f address=h:70000 # Ana | BAD_VALUE     | 36",
            })
    void testErrorReportsLineAndColumn(String line, RuleProblem problem, int column) {
        InvalidRulesException failure = assertThrows(
                InvalidRulesException.class, () -> RulesParser.parse("# a comment\n" + ACCOUNT + "\n" + line));
        RuleError error = failure.errors().get(0);
        assertEquals(problem, error.problem());
        assertEquals(3, error.line());
        assertEquals(column, error.column());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "key k account=nobody sha256=HASH # Ana                                        | DANGLING",
                "pool p serves=model # Ana; endpoint e pool=q failure-domain=f address=h:1 # A  | DANGLING",
                "route r path=/x access=open repeat=idempotent service=p # Ana                 | DANGLING",
                "route r path=/x access=open repeat=at-most-once # Ana                         | BAD_VALUE",
                "route r path=/x access=open repeat=idempotent # A; route s path=/x access=open repeat=idempotent # A"
                        + " | DUPLICATE",
                "failure-domain f # A; failure-domain f # B                                    | DUPLICATE",
                "key k account=a sha256=HASH # A; key l account=a sha256=HASH # A              | DUPLICATE",
            })
    void testDanglingDuplicateAndConflictingRulesAreRejected(String lines, RuleProblem problem) {
        String text = ACCOUNT + "\n" + lines.replace("; ", "\n").replace("HASH", "0".repeat(64));
        InvalidRulesException failure = assertThrows(InvalidRulesException.class, () -> Configuration.parse(text));
        assertEquals(problem, failure.errors().get(0).problem());
    }

    @Test
    void testCarriageReturnIsRejected() {
        InvalidRulesException failure =
                assertThrows(InvalidRulesException.class, () -> RulesParser.parse(ACCOUNT + "\r\n"));
        assertEquals(RuleProblem.BAD_TEXT, failure.errors().get(0).problem());
    }

    @Test
    void testInvalidUtf8IsRejected() {
        byte[] latin = "failure-domain f # José".getBytes(StandardCharsets.ISO_8859_1);
        InvalidRulesException failure = assertThrows(InvalidRulesException.class, () -> RulesParser.parse(latin));
        assertEquals(RuleProblem.BAD_TEXT, failure.errors().get(0).problem());
    }

    @Test
    void testAllErrorsAreReportedTogether() {
        InvalidRulesException failure =
                assertThrows(InvalidRulesException.class, () -> RulesParser.parse("x\ny\npool p # Ana"));
        assertEquals(3, failure.errors().size());
    }

    @Test
    void testOmittedAttributeHasDefaultValue() throws InvalidRulesException {
        Configuration configuration = Configuration.parse(ACCOUNT);
        assertEquals(1, configuration.account(new AccountId("a")).orElseThrow().weight());
    }

    @Test
    void testRouteWithLongestPathPrefixMatches() throws InvalidRulesException {
        Configuration configuration = Configuration.parse("route r path=/v1 access=open repeat=idempotent # A\n"
                + "route s path=/v1/chat access=open repeat=idempotent # A");
        assertEquals("s", configuration.route("/v1/chat/x").orElseThrow().id().value());
        assertEquals("r", configuration.route("/v1/chatter").orElseThrow().id().value());
        assertTrue(configuration.route("/v12").isEmpty());
    }

    @Test
    void testDifferenceHasRemovedAndChangedRulesOnly() throws InvalidRulesException {
        List<Rule> before = RulesParser.parse("failure-domain a # A\nfailure-domain b # A");
        List<Rule> after = RulesParser.parse("failure-domain b # B\nfailure-domain c # A");
        RulesDifference difference = RulesDifference.between(before, after);
        assertEquals(List.of("failure-domain a"), difference.removedKeys());
        assertEquals(List.of("failure-domain b # B", "failure-domain c # A"), difference.addedLines());
    }
}
