package org.ragwortpitch.soak;

import java.util.List;
import java.util.Random;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.standin.LinkFault;

/**
 * Draws what goes wrong next, from a seed.
 */
final class FaultSource {

    /** The longest fault, in milliseconds: longer than a lease. */
    private static final int MOST_MILLIS = 4_000;

    private static final int LEAST_MILLIS = 300;

    private static final List<StandinEndpoint.Mode> MODES = List.of(
            StandinEndpoint.Mode.FULL,
            StandinEndpoint.Mode.BREAKING,
            StandinEndpoint.Mode.FAILING,
            StandinEndpoint.Mode.UNSIGNED,
            StandinEndpoint.Mode.SILENT);

    private static final List<LinkFault> LINK_FAULTS = List.of(LinkFault.CUT, LinkFault.SILENT, LinkFault.ANSWERS_LOST);

    private final Random random;
    private final SoakWorld world;

    FaultSource(long seed, SoakWorld world) {
        this.random = new Random(seed);
        this.world = world;
    }

    /**
     * Draws planned work only: stops and starts, new versions, endpoints that leave.
     */
    Fault planned() {
        return switch (random.nextInt(3)) {
            case 0 -> restart(any(world.daemons()));
            case 1 -> new Fault("new version", world::changeDeployment, () -> {}, millis());
            default -> leaving(any(world.endpoints()));
        };
    }

    /**
     * Draws anything.
     */
    Fault any() {
        DaemonUnderTest daemon = any(world.daemons());
        StandinEndpoint endpoint = any(world.endpoints());
        return switch (random.nextInt(8)) {
            case 0 -> planned();
            case 1 -> new Fault("kill " + daemon.name(), daemon::kill, daemon::start, millis());
            case 2 -> new Fault(
                    "pause " + daemon.name(), () -> daemon.signal("STOP"), () -> daemon.signal("CONT"), millis());
            case 3 -> storeLink(daemon, any(LINK_FAULTS));
            case 4 -> new Fault(
                    "store away",
                    () -> world.store().down(true),
                    () -> world.store().down(false),
                    millis());
            case 5 -> endpointLink(endpoint, any(LINK_FAULTS));
            case 6 -> slowLink(daemon, endpoint);
            default -> mode(endpoint, any(MODES));
        };
    }

    private Fault restart(DaemonUnderTest daemon) {
        return new Fault("stop " + daemon.name(), daemon::stop, daemon::start, LEAST_MILLIS);
    }

    private Fault leaving(StandinEndpoint endpoint) {
        return new Fault(
                "endpoint leaves",
                () -> world.list(endpoint, "draining"),
                () -> world.list(endpoint, "ready"),
                millis());
    }

    private Fault storeLink(DaemonUnderTest daemon, LinkFault fault) {
        return new Fault(
                fault + " from " + daemon.name() + " to the store",
                () -> daemon.store().fault(fault),
                () -> daemon.store().fault(LinkFault.NONE),
                millis());
    }

    private Fault endpointLink(StandinEndpoint endpoint, LinkFault fault) {
        return new Fault(
                fault + " to an endpoint",
                () -> world.link(endpoint).fault(fault),
                () -> world.link(endpoint).fault(LinkFault.NONE),
                millis());
    }

    private Fault slowLink(DaemonUnderTest daemon, StandinEndpoint endpoint) {
        long delayMillis = 20 + random.nextInt(300);
        return new Fault(
                "links slowed by " + delayMillis + " ms",
                () -> {
                    daemon.store().delay(delayMillis);
                    world.link(endpoint).delay(delayMillis);
                },
                () -> {
                    daemon.store().delay(0);
                    world.link(endpoint).delay(0);
                },
                millis());
    }

    private static Fault mode(StandinEndpoint endpoint, StandinEndpoint.Mode mode) {
        return new Fault(
                "endpoint " + mode,
                () -> endpoint.mode(mode),
                () -> endpoint.mode(StandinEndpoint.Mode.GOOD),
                LEAST_MILLIS + MOST_MILLIS / 2);
    }

    private long millis() {
        return LEAST_MILLIS + random.nextInt(MOST_MILLIS - LEAST_MILLIS);
    }

    /** Draws the pause before the next fault, in milliseconds; shorter than most faults, so that they overlap. */
    long pauseMillis() {
        return 100 + random.nextInt(1_400);
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /**
     * A fault: how it begins and ends.
     */
    record Fault(String name, Runnable begin, Runnable end, long lastsMillis) {}
}
