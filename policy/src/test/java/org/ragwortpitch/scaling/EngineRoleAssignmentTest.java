package org.ragwortpitch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Tests the choice of engines that change their role.
 */
class EngineRoleAssignmentTest {

    private static Endpoint engine(String id, EndpointRole role, String domain, boolean reclaimable) {
        return new Endpoint(
                new EndpointId(id),
                new PoolId("p"),
                "10.0.0.1:80",
                new FailureDomain(domain),
                64,
                false,
                role,
                0,
                reclaimable,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
    }

    private static Map<String, EndpointRole> changes(List<Endpoint> engines, int decodeEngines, boolean fresh) {
        return EngineRoleAssignment.changes(engines, decodeEngines, engine -> fresh).entrySet().stream()
                .collect(Collectors.toMap(change -> change.getKey().id().value(), Map.Entry::getValue));
    }

    private static List<Endpoint> prefillEngines(int count) {
        List<Endpoint> engines = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            engines.add(engine("r" + index, EndpointRole.PREFILL, "abc".substring(index % 3, index % 3 + 1), true));
        }
        return engines;
    }

    @Test
    void testDecodeEnginesAreSpreadOverDomains() {
        assertEquals(
                Map.of("r0", EndpointRole.DECODE, "r1", EndpointRole.DECODE, "r2", EndpointRole.DECODE),
                changes(prefillEngines(9), 3, false));
    }

    @Test
    void testOnDemandEngineDecodesFirst() {
        List<Endpoint> engines = prefillEngines(9);
        engines.add(engine("firm", EndpointRole.PREFILL, "a", false));
        assertEquals(EndpointRole.DECODE, changes(engines, 1, false).get("firm"));
    }

    @Test
    void testServingDecodeEngineKeepsItsRole() {
        List<Endpoint> engines = prefillEngines(8);
        engines.add(engine("d1", EndpointRole.DECODE, "a", true));
        engines.add(engine("d2", EndpointRole.DECODE, "a", true));
        assertEquals(Map.of(), changes(engines, 1, false));
        assertEquals(Map.of("d2", EndpointRole.PREFILL), changes(engines, 1, true));
    }

    @Test
    void testMostEnginesKeepPrefilling() {
        assertEquals(1, changes(prefillEngines(4), 4, false).size());
    }
}
