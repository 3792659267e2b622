package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.PrefixBlockId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.poison.EndpointCrash;

class PoisonRequestsTest {

    private static final CrashCause BLOCK = CrashCause.of(new PrefixBlockId(7));

    private final List<CrashCause> recorded = new ArrayList<>();
    private final PoisonRequests poison = new PoisonRequests((cause, crashes) -> recorded.add(cause));

    private static Endpoint engine(int number) {
        return new Endpoint(
                new EndpointId("i-" + number),
                new PoolId("llm"),
                "127.0.0.1:1",
                new FailureDomain("a"),
                64,
                false,
                EndpointRole.DECODE,
                1,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
    }

    /** Guards against a prefix block that is refused since engines broke off after they had sent events with it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testBlockIsNotBlamedForStreamsThatHadEvents(boolean responded) {
        for (int crash = 0; crash < 3; crash++) {
            CrashCause request = new CrashCause(CrashCause.Kind.REQUEST, crash);
            poison.recordCrash("attempt", engine(crash), responded, List.of(BLOCK, request), crash);
        }
        assertEquals(!responded, poison.poisonIn(List.of(BLOCK), 3).isPresent());
    }

    /** Guards against a poison block that no daemon records, since several of them have seen its crashes. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "2, 1", "3, 1"})
    void testPoisonBlockIsRecordedByDaemonsThatSawACrash(int ownCrashes, int expectedRecords) {
        for (int crash = 0; crash < 3; crash++) {
            if (crash < ownCrashes) {
                poison.recordCrash("attempt", engine(crash), false, List.of(BLOCK), crash);
            } else {
                poison.mergeCrash(EndpointCrash.of(engine(crash).incarnation(), List.of(BLOCK), crash), crash);
            }
        }
        assertEquals(expectedRecords, recorded.size());
    }
}
