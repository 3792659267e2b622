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
import org.ragwortpitch.limit.OwnerAssignment;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.membership.Member;

/**
 * Tests admission with quota that another daemon owns, and the handover of quotas to successors.
 *
 * <p>A request must not be refused merely because its account's quota is passing to a new owner. A successor may join
 * in the same snapshot that makes it an owner; if the handover to it were dropped, it would start with an empty quota.
 */
class AdmissionControlTest {

    private static final int ACCOUNTS = 16;

    private static final String RATES =
            " weight=1 tokens-per-second=100 burst-tokens=100 requests-per-second=10 burst-requests=10 # tests\n";

    private static final Incarnation SELF = new Incarnation("self");

    private static final AccountRule RULE =
            new AccountRule(new AccountId("families"), 1, new RateLimit(100, 100), new RateLimit(100, 100));

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final List<Incarnation> successors = new ArrayList<>();
    private final Deque<AdmissionKind> responses = new ArrayDeque<>();
    private final AdmissionControl control =
            new AdmissionControl(1, new Clocks(nowMillis::get, nowMillis::get), new ScriptedOwner());

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

    /**
     * Returns a snapshot in which this daemon is leaving, so that the other one owns every account's quota.
     */
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
    void testRequestIsRetriedWhileTheQuotaPassesToANewOwner(AdmissionKind refusal) {
        control.follow(leaving());
        responses.addAll(List.of(refusal, refusal, AdmissionKind.GRANTED));
        control.admit(RULE, new QuotaAmount(1, 1)).toCompletableFuture().join();
        assertTrue(responses.isEmpty(), "the request was retried until it was granted");
    }

    @ParameterizedTest
    @EnumSource(
            value = AdmissionKind.class,
            names = {"OVER_RATE"})
    void testRequestOverItsRateIsRefusedWithoutRetry(AdmissionKind refusal) {
        control.follow(leaving());
        responses.addAll(List.of(refusal, AdmissionKind.GRANTED));
        assertThrows(CompletionException.class, () -> control.admit(RULE, new QuotaAmount(1, 1))
                .toCompletableFuture()
                .join());
        assertEquals(1, responses.size());
    }

    @Test
    void testSuccessorThatJoinedInTheSameSnapshotReceivesTheQuota() throws InvalidRulesException {
        StringBuilder rules = new StringBuilder();
        for (int account = 0; account < ACCOUNTS; account++) {
            rules.append("account a").append(account).append(RATES);
        }
        Configuration configuration = Configuration.parse(rules.toString());
        Member self = member("self", false);
        Member joining = member("coming", false);
        control.follow(snapshot(5, configuration, self));
        nowMillis.addAndGet(AdmissionControl.LENT_QUOTA_MILLIS);
        control.follow(snapshot(5, configuration, self));
        control.follow(snapshot(6, configuration, self, joining));
        long moved = configuration.accounts().stream()
                .filter(rule -> OwnerAssignment.owners(rule.id(), List.of(SELF, joining.incarnation()), 1)
                        .contains(joining.incarnation()))
                .count();
        assertTrue(moved > 0);
        assertEquals(Collections.nCopies((int) moved, joining.incarnation()), successors);
    }

    /**
     * Responds to requests for quota with the kinds listed in {@code responses}.
     */
    private final class ScriptedOwner implements QuotaLenders {

        @Override
        public CompletionStage<Admission> borrow(
                Incarnation owner, AccountId account, TransferId id, QuotaAmount requested) {
            return CompletableFuture.completedFuture(new Admission(responses.remove(), id, 0));
        }

        @Override
        public void settle(Incarnation owner, AccountId account, TransferId id, QuotaAmount used) {}

        @Override
        public void handOver(Member successor, QuotaHandover handover) {
            successors.add(successor.incarnation());
        }
    }
}
