package org.ragwortpitch.edge.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.edge.standin.Settings;
import org.ragwortpitch.homes.Regions;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.Region;

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
                new Regions(Map.of()),
                host -> Set.of(),
                () -> PeerStatus.of(true),
                Set::of,
                Settings.at("self", "127.0.0.1:1")::bounds,
                () -> NOW_MILLIS + laterMillis);
        SmallAnswer answer = directory.answer(new QueryStringDecoder("/resolve?Name=x&Zone=b"));
        assertEquals(named, new String(answer.body(), StandardCharsets.UTF_8).contains("10.0.0.2:80"));
    }

    /**
     * Guards against callers that connect where their requests have to be passed on. This daemon and b are in region r,
     * c in r2 and d in r3.
     */
    @ParameterizedTest
    @CsvSource({"any, x, abcd", "any, d, abcd", "HOMED, a, abc", "homed, d, cd", "homed, x, c", "nowhere, x, abcd"})
    void testDaemonsOfTheCallersRegionAndOfTheHomesAreNamedFirst(String host, String caller, String named) {
        Region r2 = new Region("r2");
        Map<FailureDomain, Region> regions = Map.of(
                new FailureDomain("a"), new Region("r"),
                new FailureDomain("b"), new Region("r"),
                new FailureDomain("c"), r2,
                new FailureDomain("d"), new Region("r3"));
        List<Daemon> others = List.of("b", "c", "d").stream()
                .map(name -> new Daemon(new InstanceId(name), 1, new FailureDomain(name), name + ":80", name + ":90"))
                .toList();
        peers.apply(others, 0);
        others.forEach(daemon -> peers.recordRelayedState(daemon.id(), PeerStatus.of(true), 0, NOW_MILLIS));
        Map<String, Set<Region>> homes = Map.of("homed", Set.of(r2), "nowhere", Set.of(new Region("r9")));
        AddressDirectory directory = new AddressDirectory(
                peers,
                SELF,
                new Regions(regions),
                name -> homes.getOrDefault(name, Set.of()),
                () -> PeerStatus.of(true),
                Set::of,
                Settings.at("self", "127.0.0.1:1")::bounds,
                () -> NOW_MILLIS);
        SmallAnswer answer = directory.answer(new QueryStringDecoder("/resolve?Name=" + host + "&Zone=" + caller));
        String body = new String(answer.body(), StandardCharsets.UTF_8).replace("10.0.0.1:80", "a:80");
        assertEquals(
                named,
                Stream.of("a", "b", "c", "d")
                        .filter(name -> body.contains(name + ":80"))
                        .collect(Collectors.joining()));
    }
}
