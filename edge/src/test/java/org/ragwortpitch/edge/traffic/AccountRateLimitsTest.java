package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.identity.AccountId;

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
}
