package org.ragwortpitch.homes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.PoolShare;
import org.ragwortpitch.deployment.RequestKind;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.Region;
import org.ragwortpitch.identity.RouteId;

/**
 * Tests which failure domains may serve a request. Guards against prompts that leave their home regions.
 */
class HomesTest {

    private static final Regions REGIONS = new Regions(Map.of(
            new FailureDomain("a"), new Region("r1"),
            new FailureDomain("b"), new Region("r1"),
            new FailureDomain("c"), new Region("r2")));

    private static Set<Region> regions(String names) {
        return Arrays.stream(names.split(" "))
                .filter(name -> !name.isEmpty())
                .map(Region::new)
                .collect(Collectors.toSet());
    }

    private static Route route(String homes) {
        List<PoolShare> shares = List.of(new PoolShare(new PoolId("app"), 1));
        return new Route(
                new RouteId("r"), "h", "/", RequestKind.SAFE, 1, 1, 0, 0, shares, 1, false, false, regions(homes));
    }

    /** The domain x has no known region; daemons get requests at domain b. */
    @ParameterizedTest
    @CsvSource({
        "'', '', a b c x, a b c x",
        "r1, '', a b, a b",
        "'', r2, c, a b c",
        "r1 r2, r2 r3, c, a b c",
        "r1, r2, '', a b",
        "r3, '', '', a b",
    })
    void testOnlyRegionsThatRouteAndAccountListServe(
            String ofRoute, String ofAccount, String endpoints, String daemons) {
        AccountSpec account = new AccountSpec(new AccountId("t"), OptionalInt.empty(), 0, 0, 1, regions(ofAccount));
        Homes homes = Homes.of(route(ofRoute), Optional.of(account));
        List<FailureDomain> domains =
                Stream.of("a", "b", "c", "x").map(FailureDomain::new).toList();
        assertEquals(
                endpoints,
                domains.stream()
                        .filter(REGIONS.endpointDomains(homes))
                        .map(FailureDomain::value)
                        .collect(Collectors.joining(" ")));
        assertEquals(
                daemons,
                domains.stream()
                        .filter(REGIONS.daemonDomains(homes, new FailureDomain("b")))
                        .map(FailureDomain::value)
                        .collect(Collectors.joining(" ")));
    }
}
