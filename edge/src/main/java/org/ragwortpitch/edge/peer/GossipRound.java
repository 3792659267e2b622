package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.ragwortpitch.deployment.Daemon;

/**
 * Schedule of gossip to other daemons, each of which receives one datagram a round. A round lasts longer the more
 * daemons there are, so that the rate at which a daemon sends and receives doesn't grow with the fleet. Confined to one
 * thread.
 */
public final class GossipRound {

    /** Pause between steps, in milliseconds; spreads a round so that its datagrams don't queue at the link. */
    public static final long STEP_MILLIS = 50;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long minMillis;
    private final int datagramsPerSecond;
    private List<Daemon> daemons = List.of();
    private int stepIndex;

    /**
     * Creates a schedule without daemons.
     *
     * @param minMillis          shortest round, in milliseconds; bounds the usual age of another daemon's gossip
     * @param datagramsPerSecond most datagrams that this daemon sends in a second
     */
    public GossipRound(long minMillis, int datagramsPerSecond) {
        this.minMillis = minMillis;
        this.datagramsPerSecond = datagramsPerSecond;
    }

    /**
     * Replaces the daemons that receive gossip.
     */
    public void apply(Collection<Daemon> others) {
        daemons = others.stream()
                .sorted(Comparator.comparing(daemon -> daemon.id().value()))
                .toList();
    }

    /**
     * Returns the duration of a round, in milliseconds.
     */
    public long durationMillis() {
        return Math.max(minMillis, daemons.size() * MILLIS_PER_SECOND / datagramsPerSecond);
    }

    /**
     * Returns the number of steps in a round.
     */
    public int stepCount() {
        return (int) ((durationMillis() + STEP_MILLIS - 1) / STEP_MILLIS);
    }

    /**
     * Advances to the next step and returns the daemons that receive gossip in it.
     */
    public List<Daemon> nextBatch() {
        int steps = stepCount();
        stepIndex = (stepIndex + 1) % steps;
        return daemons.subList(stepIndex * daemons.size() / steps, (stepIndex + 1) * daemons.size() / steps);
    }
}
