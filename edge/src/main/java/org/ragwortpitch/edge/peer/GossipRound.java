package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.ragwortpitch.deployment.Daemon;

/**
 * Which daemons are told next. All are told once in a round; a round lasts the longer, the more there are, so that what
 * a daemon sends and receives doesn't grow with them. Confined to one thread.
 */
public final class GossipRound {

    /** The pause between steps, in milliseconds: spreads a round, so that its datagrams don't queue at the link. */
    public static final long STEP_MILLIS = 50;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long shortestMillis;
    private final int datagramsPerSecond;
    private List<Daemon> daemons = List.of();
    private int step;

    /**
     * Makes a round without anybody.
     *
     * @param shortestMillis     the shortest round, in milliseconds: how old the word of another daemon usually gets
     * @param datagramsPerSecond what this daemon sends at most
     */
    public GossipRound(long shortestMillis, int datagramsPerSecond) {
        this.shortestMillis = shortestMillis;
        this.datagramsPerSecond = datagramsPerSecond;
    }

    /**
     * Takes a new list over.
     */
    public void apply(Collection<Daemon> others) {
        daemons = others.stream()
                .sorted(Comparator.comparing(daemon -> daemon.id().value()))
                .toList();
    }

    /**
     * Tells how long a round lasts, in milliseconds.
     */
    public long millis() {
        return Math.max(shortestMillis, daemons.size() * MILLIS_PER_SECOND / datagramsPerSecond);
    }

    /**
     * Tells the steps of a round.
     */
    public int steps() {
        return (int) ((millis() + STEP_MILLIS - 1) / STEP_MILLIS);
    }

    /**
     * Tells the daemons of the next step.
     */
    public List<Daemon> step() {
        int steps = steps();
        step = (step + 1) % steps;
        return daemons.subList(step * daemons.size() / steps, (step + 1) * daemons.size() / steps);
    }
}
