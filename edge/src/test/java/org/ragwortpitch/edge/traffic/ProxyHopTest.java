package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Tests the header of requests that a daemon passes on to another one.
 */
class ProxyHopTest {

    @Test
    void testHopIsDecodedAsEncoded() {
        ProxyHop begun = new ProxyHop(12, 1, true, Optional.of(new SoftwareVersion("v1.1")));
        ProxyHop fresh = new ProxyHop(12, 0, false, Optional.empty());
        assertEquals(Optional.of(begun), ProxyHop.decode(begun.encode()));
        assertEquals(Optional.of(fresh), ProxyHop.decode(fresh.encode()));
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "configuration=1", "executions=0", "configuration=x;executions=0", ";;=;"})
    void testUnreadableHopIsRejected(String header) {
        assertEquals(Optional.empty(), ProxyHop.decode(header));
    }

    @Property(tries = 500)
    void testAnyHeaderIsDecodedOrRejected(@ForAll String header) {
        ProxyHop.decode(header);
    }
}
