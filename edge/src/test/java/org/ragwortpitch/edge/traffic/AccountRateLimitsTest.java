package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

class AccountRateLimitsTest {

    private static final AccountId FAMILIES = new AccountId("families");

    private static AccountRateLimits started(boolean firstStart) {
        AccountRateLimits accounts = new AccountRateLimits(firstStart);
        AccountSpec spec = new AccountSpec(FAMILIES, OptionalInt.empty(), 10, 100, 1);
        accounts.apply(new Deployment(1, List.of(), List.of(), List.of(spec), Map.of(), CallerLimits.DEFAULT), 0);
        return accounts;
    }

    /** Guards against restarted daemons that each spend an account's whole rate until they know the others. */
    @Test
    void testRestartedDaemonSpendsNothingBeforeItKnowsItsShare() {
        AccountRateLimits accounts = started(false);
        assertTrue(accounts.spend(FAMILIES, 1, 5_000) > 0);
        accounts.setShare(0.2, 5_000);
        assertEquals(0, accounts.spend(FAMILIES, 1, 6_000));
    }

    @Test
    void testFirstStartSpendsTheBurstAtOnce() {
        assertEquals(0, started(true).spend(FAMILIES, 100, 0));
    }

    private static AccountRateLimits withUnlimited(long tokensPerSecond) {
        AccountRateLimits accounts = new AccountRateLimits(true);
        AccountSpec spec = new AccountSpec(FAMILIES, OptionalInt.empty(), tokensPerSecond, 100, 1);
        accounts.apply(new Deployment(1, List.of(), List.of(), List.of(spec), Map.of(), CallerLimits.DEFAULT), 0);
        return accounts;
    }

    /**
     * Guards against an order of waiting requests that knows only this daemon's share of what an account was served,
     * and against gossip that grows where all accounts have a rate limit.
     */
    @ParameterizedTest
    @CsvSource({"0, 700", "10, 0"})
    void testServedTokensOfAccountsWithoutALimitAreGossipedOverDomains(long tokensPerSecond, long expected) {
        AccountRateLimits sender = withUnlimited(tokensPerSecond);
        AccountRateLimits relay = withUnlimited(tokensPerSecond);
        AccountRateLimits other = withUnlimited(tokensPerSecond);
        for (long tokens : new long[] {100, 700}) {
            sender.recordServed(FAMILIES, tokens, 0);
            sender.forEachSpent((account, total) -> relay.directPeerSpent(new InstanceId("a"), 1, account, total, 0));
            relay.recordServed(FAMILIES, 0, 0);
            relay.forEachSpentInDomain((account, total) -> other.peerSpent(new InstanceId("d"), 1, account, total, 0));
        }
        assertEquals(expected, other.servedTokens(FAMILIES, 0));
        assertEquals(0, other.servedTokens(new AccountId("unknown"), 0));
    }
}
