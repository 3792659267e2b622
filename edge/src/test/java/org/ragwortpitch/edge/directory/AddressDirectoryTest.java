package org.ragwortpitch.edge.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.edge.standin.Settings;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

class AddressDirectoryTest {

    private static final long NOW_MILLIS = 100_000;

    private static final InstanceId FAR = new InstanceId("far");

    private static final Daemon SELF =
            new Daemon(new InstanceId("self"), 1, new FailureDomain("a"), "10.0.0.1:80", "10.0.0.1:90");

    /** One direct peer, so that a daemon of another failure domain is known by relays only. */
    private final PeerView peers = new PeerView(SELF.id(), SELF.domain(), 1);

    /** Guards against answers that name a daemon which was killed more than the contact time of 3 s and 3 s ago. */
    @ParameterizedTest
    @CsvSource({"0, 1000, true", "3600, 400, true", "3600, 401, false", "4500, 0, false", "-7, 1000, true"})
    void testDaemonIsNamedUpToTheAgeOfItsOwnGossip(long ageMillis, long laterMillis, boolean named) {
        peers.apply(List.of(new Daemon(FAR, 1, new FailureDomain("b"), "10.0.0.2:80", "10.0.0.2:90")), 0);
        peers.recordRelayedState(FAR, PeerStatus.of(true), ageMillis, NOW_MILLIS);
        peers.recordRelayedState(FAR, PeerStatus.of(true), ageMillis + 1_000, NOW_MILLIS);
        AddressDirectory directory = new AddressDirectory(
                peers,
                SELF,
                () -> PeerStatus.of(true),
                Set::of,
                Settings.at("self", "127.0.0.1:1")::bounds,
                () -> NOW_MILLIS + laterMillis);
        SmallAnswer answer = directory.answer(new QueryStringDecoder("/resolve?Name=x&Zone=b"));
        assertEquals(named, new String(answer.body(), StandardCharsets.UTF_8).contains("10.0.0.2:80"));
    }
}
