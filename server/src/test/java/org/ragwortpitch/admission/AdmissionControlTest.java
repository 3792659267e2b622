package org.ragwortpitch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.RateLimit;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.HomeAssignment;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.membership.Member;

/**
 * Tests admission by a home at another daemon.
 */
class AdmissionControlTest {

    private static final int ACCOUNTS = 16;

    private static final String RATES =
            " weight=1 tokens-per-second=100 burst-tokens=100 requests-per-second=10 burst-requests=10 # tests\n";

    private static final Incarnation SELF = new Incarnation("self");

    private static final AccountRule RULE =
            new AccountRule(new AccountId("families"), 1, new RateLimit(100, 100), new RateLimit(100, 100));

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final List<Incarnation> heirs = new ArrayList<>();
    private final Deque<AdmissionKind> answers = new ArrayDeque<>();
    private final AdmissionControl control =
            new AdmissionControl(1, new Clocks(nowMillis::get, nowMillis::get), new ScriptedHome());

    private static Member member(String incarnation, boolean leaving) {
        return new Member(
                new Incarnation(incarnation),
                new InstanceId(incarnation),
                new FailureDomain("a"),
                "",
                "",
                1,
                1,
                1,
                1,
                leaving);
    }

    /** This daemon leaves, so that the other one is every account's home. */
    private static Snapshot leaving() {
        return snapshot(5, Configuration.EMPTY, member("self", true), member("other", false));
    }

    private static Snapshot snapshot(long changedOffset, Configuration configuration, Member... members) {
        return new Snapshot(
                SELF,
                true,
                false,
                configuration,
                1,
                List.of(members),
                List.of(),
                Set.of(),
                changedOffset,
                changedOffset,
                Long.MAX_VALUE,
                Long.MAX_VALUE,
                0);
    }

    @ParameterizedTest
    @EnumSource(
            value = AdmissionKind.class,
            names = {"NOT_READY", "NOT_HOME"})
    void testRequestWaitsForAHomeThatTakesOver(AdmissionKind refusal) {
        control.follow(leaving());
        answers.addAll(List.of(refusal, refusal, AdmissionKind.GRANTED));
        control.admit(RULE, new Allowance(1, 1)).toCompletableFuture().join();
        assertTrue(answers.isEmpty(), "asked until it was granted");
    }

    @ParameterizedTest
    @EnumSource(
            value = AdmissionKind.class,
            names = {"OVER_RATE"})
    void testRequestOverItsRateIsRefusedAtOnce(AdmissionKind refusal) {
        control.follow(leaving());
        answers.addAll(List.of(refusal, AdmissionKind.GRANTED));
        assertThrows(CompletionException.class, () -> control.admit(RULE, new Allowance(1, 1))
                .toCompletableFuture()
                .join());
        assertEquals(1, answers.size());
    }

    @Test
    void testHeirThatJoinedJustNowGetsTheShare() throws InvalidRulesException {
        StringBuilder rules = new StringBuilder();
        for (int account = 0; account < ACCOUNTS; account++) {
            rules.append("account a").append(account).append(RATES);
        }
        Configuration configuration = Configuration.parse(rules.toString());
        Member self = member("self", false);
        Member coming = member("coming", false);
        control.follow(snapshot(5, configuration, self));
        nowMillis.addAndGet(AdmissionControl.LOAN_MILLIS);
        control.follow(snapshot(5, configuration, self));
        control.follow(snapshot(6, configuration, self, coming));
        long moved = configuration.accounts().stream()
                .filter(rule -> HomeAssignment.homes(rule.id(), List.of(SELF, coming.incarnation()), 1)
                        .contains(coming.incarnation()))
                .count();
        assertTrue(moved > 0);
        assertEquals(Collections.nCopies((int) moved, coming.incarnation()), heirs);
    }

    /**
     * A home that answers as it is told.
     */
    private final class ScriptedHome implements Lenders {

        @Override
        public CompletionStage<Admission> borrow(Incarnation home, AccountId account, TransferId id, Allowance wish) {
            return CompletableFuture.completedFuture(new Admission(answers.remove(), id, 0));
        }

        @Override
        public void settle(Incarnation home, AccountId account, TransferId id, Allowance used) {}

        @Override
        public void surrender(Member heir, Surrender surrender) {
            heirs.add(heir.incarnation());
        }
    }
}
