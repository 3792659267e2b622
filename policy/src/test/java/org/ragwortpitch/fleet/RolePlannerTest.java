package org.ragwortpitch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.configuration.Supply;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.order.RoleOrder;

/**
 * Tests which role changes are ordered, and which pending orders block them.
 */
class RolePlannerTest {

    private final Map<EndpointId, EndpointReport> reports = new HashMap<>();

    private static EndpointRule rule(String id, EndpointRole role, boolean checks) {
        return new EndpointRule(
                new EndpointId(id), new PoolId("p"), new FailureDomain("f"), "h:1", role, checks, Supply.FIRM, 0);
    }

    private void report(String id, String role) {
        reports.put(new EndpointId(id), new EndpointReport(new EndpointId(id), role, false));
    }

    private static OpenOrder open(String id, EndpointRole role) {
        RoleOrder order = new RoleOrder(new EndpointId(id), role, false);
        return new OpenOrder(7, Duties.fleet(new PoolId("p")), 3, new Incarnation("w"), new InstanceId("i"), order);
    }

    @Test
    void testEndpointWithTheConfiguredRoleIsNotChanged() {
        report("a", "mixed");
        assertTrue(RolePlanner.next(List.of(rule("a", EndpointRole.MIXED, true)), reports, List.of())
                .isEmpty());
    }

    @Test
    void testEndpointWithoutReportIsNotChanged() {
        assertTrue(RolePlanner.next(List.of(rule("a", EndpointRole.DECODE, true)), reports, List.of())
                .isEmpty());
    }

    @Test
    void testOnlyOneEndpointChangesAtATime() {
        report("a", "changing");
        report("b", "mixed");
        List<EndpointRule> rules = List.of(rule("a", EndpointRole.DECODE, true), rule("b", EndpointRole.DECODE, true));
        assertTrue(RolePlanner.next(rules, reports, List.of()).isEmpty());
        report("a", "decode");
        assertEquals(
                "b", RolePlanner.next(rules, reports, List.of()).orElseThrow().target());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testConflictingOpenOrderBlocksOnlyWhereFencingIsNotChecked(boolean checks) {
        report("a", "mixed");
        List<EndpointRule> rules = List.of(rule("a", EndpointRole.DECODE, checks));
        List<OpenOrder> open = List.of(open("a", EndpointRole.PREFILL));
        assertEquals(checks, RolePlanner.next(rules, reports, open).isPresent());
    }
}
