package org.ragwortpitch.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RouteId;

/**
 * Guards route lookup and the traffic split: a prefix matches whole path segments only, the longest one wins, and a
 * draw maps to pools by weight, also when it is negative or above the total.
 */
class RouteTableTest {

    private static final RouteTable TABLE = new RouteTable(List.of(
            route("short", "a.example", "/one/"),
            route("long", "a.example", "/one/two/"),
            route("root", "b.example", "/")));

    private static Route route(String id, String host, String prefix) {
        List<PoolShare> shares = List.of(new PoolShare(new PoolId("p"), 90), new PoolShare(new PoolId("q"), 10));
        return new Route(new RouteId(id), host, prefix, RequestKind.SAFE, 1_000, 100, 0, 0, shares, 2, false, false);
    }

    @ParameterizedTest
    @CsvSource({
        "a.example, /one/x, short",
        "a.example, /one/two/x, long",
        "a.example, /one/twofold, short",
        "a.example, /one/two, short",
        "a.example, /one, -",
        "a.example, /other/, -",
        "b.example, /any/path, root",
        "b.example, /, root",
        "c.example, /one/, -",
        "a.example, '', -"
    })
    void testLongestMatchingPrefixOfHostWins(String host, String path, String expected) {
        assertEquals(
                expected,
                TABLE.find(host, path).map(route -> route.id().value()).orElse("-"));
    }

    @ParameterizedTest
    @CsvSource({"0, p", "89, p", "90, q", "99, q", "100, p", "-1, q"})
    void testDrawSelectsPoolByWeight(long draw, String expected) {
        assertEquals(expected, route("r", "h", "/").choosePool(draw).value());
    }
}
