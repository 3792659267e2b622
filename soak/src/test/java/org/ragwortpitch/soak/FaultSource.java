package org.ragwortpitch.soak;

import java.util.List;
import java.util.Random;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.standin.LinkFault;

/**
 * Draws random faults from a seed.
 */
final class FaultSource {

    /** Longest duration of a fault, in milliseconds; exceeds the lease of 3,000 ms, so that leases expire. */
    private static final int MAX_FAULT_MILLIS = 4_000;

    private static final int MIN_FAULT_MILLIS = 300;

    private static final List<StandinEndpoint.Mode> MODES = List.of(
            StandinEndpoint.Mode.FULL,
            StandinEndpoint.Mode.BREAKING,
            StandinEndpoint.Mode.FAILING,
            StandinEndpoint.Mode.UNSIGNED,
            StandinEndpoint.Mode.SILENT);

    private static final List<LinkFault> LINK_FAULTS = List.of(LinkFault.CUT, LinkFault.SILENT, LinkFault.ANSWERS_LOST);

    private final Random random;
    private final Random partitions;
    private final Random stutters;
    private final SoakWorld world;

    FaultSource(long seed, SoakWorld world) {
        this.random = new Random(seed);
        this.partitions = new Random(~seed);
        this.stutters = new Random(~seed * 31);
        this.world = world;
    }

    /**
     * Draws a planned operation: a daemon restart, a new deployment version or the draining of an endpoint.
     */
    Fault planned() {
        return switch (random.nextInt(3)) {
            case 0 -> restart(pick(world.daemons()));
            case 1 -> new Fault("new version", world::changeDeployment, () -> {}, millis());
            default -> drainEndpoint(pick(world.endpoints()));
        };
    }

    /**
     * Draws a fault of any kind, planned operations included.
     */
    Fault anyFault() {
        DaemonUnderTest daemon = pick(world.daemons());
        StandinEndpoint endpoint = pick(world.endpoints());
        return switch (random.nextInt(8)) {
            case 0 -> planned();
            case 1 -> new Fault("kill " + daemon.name(), daemon::kill, daemon::start, millis());
            case 2 -> new Fault(
                    "pause " + daemon.name(), () -> daemon.signal("STOP"), () -> daemon.signal("CONT"), millis());
            case 3 -> storeLink(daemon, pick(LINK_FAULTS));
            case 4 -> new Fault(
                    "store away",
                    () -> world.store().down(true),
                    () -> world.store().down(false),
                    millis());
            case 5 -> endpointLink(endpoint, pick(LINK_FAULTS));
            case 6 -> slowLink(daemon, endpoint);
            default -> mode(endpoint, pick(MODES));
        };
    }

    /**
     * Draws a partition of one daemon from all endpoints. Drawn from a source of its own, so that seeds that are known
     * to have failed keep their other faults.
     */
    Fault partition() {
        DaemonUnderTest daemon =
                world.daemons().get(partitions.nextInt(world.daemons().size()));
        PartitionableLink.Partition kind = PartitionableLink.Partition.values()[partitions.nextInt(3)];
        return new Fault(
                kind + " from " + daemon.name() + " to all endpoints",
                () -> world.partition(daemon, kind),
                () -> world.heal(daemon),
                MIN_FAULT_MILLIS + partitions.nextInt(2 * MAX_FAULT_MILLIS));
    }

    /**
     * Draws what endpoints write a second time, for most of a run. Drawn from a source of its own like
     * {@link #partition}.
     */
    Fault stutter() {
        ExtraAnswer extra = ExtraAnswer.values()[1 + stutters.nextInt(ExtraAnswer.values().length - 1)];
        long failureSeed = stutters.nextLong();
        return new Fault(
                "extra answers " + extra,
                () -> world.stutter(extra, failureSeed),
                world::endStutter,
                MIN_FAULT_MILLIS + stutters.nextInt(2 * MAX_FAULT_MILLIS));
    }

    private Fault restart(DaemonUnderTest daemon) {
        return new Fault("stop " + daemon.name(), daemon::stop, daemon::start, MIN_FAULT_MILLIS);
    }

    private Fault drainEndpoint(StandinEndpoint endpoint) {
        return new Fault(
                "endpoint leaves",
                () -> world.publish(endpoint, "draining"),
                () -> world.publish(endpoint, "ready"),
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
                MIN_FAULT_MILLIS + MAX_FAULT_MILLIS / 2);
    }

    private long millis() {
        return MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
    }

    /** Draws the pause before the next fault, in milliseconds; shorter than most faults, so that faults overlap. */
    long pauseMillis() {
        return 100 + random.nextInt(1_400);
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /**
     * A fault with the actions that start and end it.
     *
     * @param lastsMillis duration in milliseconds
     */
    record Fault(String name, Runnable begin, Runnable end, long lastsMillis) {}
}
