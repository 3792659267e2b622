package org.ragwortpitch.contact;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortpitch.identity.EndpointId;

/**
 * Decides whether a daemon reaches the endpoints of a pool. Silence only raises a suspicion, as busy endpoints are
 * silent too; connections that don't open either confirm it. A connection that opens, or any data, ends both. Confined
 * to one thread.
 */
public final class PoolContact {

    /** How long a connection may take to open, in milliseconds: several round trips within a region. */
    public static final long CONNECT_MILLIS = 350;

    /** Longest time from the break of paths with requests under way to the loss of contact, in milliseconds. */
    public static final long MAX_DETECTION_MILLIS = 2_000;

    /** Silence that raises a suspicion, in milliseconds: several times the gap between events of a stream. */
    private static final long SUSPECT_MILLIS = 300;

    /** Time after the first probe until more endpoints are probed, in milliseconds. */
    private static final long WIDEN_MILLIS = 100;

    /** Pause between probes while contact is lost, in milliseconds, which delays its return. */
    private static final long LOST_PROBE_MILLIS = 250;

    /** Time without a further suspicion after a probe was answered, in milliseconds; bounds the cost of probes. */
    private static final long CALM_MILLIS = 1_000;

    /** Endpoints that must be out of reach, or all if there are fewer. */
    private static final int PROBED_ENDPOINTS = 3;

    private static final long NEVER = Long.MIN_VALUE;

    private final Set<EndpointId> unreachable = new HashSet<>();
    private final Set<EndpointId> probed = new HashSet<>();
    private long silentSinceMillis = NEVER;
    private long suspectedMillis = NEVER;
    private long lastProbeMillis = NEVER;
    private long calmUntilMillis = NEVER;
    private boolean lost;

    /**
     * Records a sign of life of an endpoint: a connection has opened, or data has arrived.
     *
     * @return whether it ends a loss of contact
     */
    public boolean heard(long nowMillis) {
        boolean regained = lost;
        if (suspectedMillis != NEVER) {
            calmUntilMillis = nowMillis + CALM_MILLIS;
        }
        silentSinceMillis = NEVER;
        suspectedMillis = NEVER;
        lastProbeMillis = NEVER;
        unreachable.clear();
        probed.clear();
        lost = false;
        return regained;
    }

    /**
     * Records that a connection to an endpoint could not be opened.
     */
    public void connectFailed(EndpointId endpoint, long nowMillis) {
        if (silentSinceMillis == NEVER) {
            silentSinceMillis = nowMillis;
        }
        unreachable.add(endpoint);
    }

    /**
     * Raises a suspicion without waiting for silence, as this daemon has lost another pool.
     */
    public void suspect(long nowMillis) {
        if (silentSinceMillis == NEVER) {
            silentSinceMillis = nowMillis;
        }
        if (suspectedMillis == NEVER) {
            suspectedMillis = nowMillis;
        }
    }

    /**
     * Returns whether {@link #advance} has anything to do, which it rarely has. Called periodically.
     *
     * @param waiting whether a request waits for an endpoint
     */
    public boolean isDue(boolean waiting, long nowMillis) {
        trackSilence(waiting, nowMillis);
        return lost || suspectedMillis != NEVER || isSilentForLong(nowMillis);
    }

    /**
     * Advances to the present time.
     *
     * @param endpoints the endpoints of the pool that are not leaving, those to probe first in front
     * @param waiting   whether a request waits for one of them
     * @return the step that is due
     */
    public Step advance(List<EndpointId> endpoints, boolean waiting, long nowMillis) {
        unreachable.retainAll(endpoints);
        if (endpoints.isEmpty()) {
            boolean regained = heard(nowMillis);
            return new Step(regained ? Change.REGAINED : Change.NONE, List.of());
        }
        trackSilence(waiting, nowMillis);
        if (lost) {
            return new Step(Change.NONE, probeWhileLost(endpoints, nowMillis));
        }
        if (suspectedMillis == NEVER && isSilentForLong(nowMillis)) {
            suspectedMillis = nowMillis;
        }
        if (suspectedMillis == NEVER) {
            return Step.NONE;
        }
        int needed = Math.min(PROBED_ENDPOINTS, endpoints.size());
        if (unreachable.size() >= needed) {
            lost = true;
            lastProbeMillis = nowMillis;
            return new Step(Change.LOST, List.of());
        }
        return new Step(Change.NONE, probeSuspected(endpoints, needed, nowMillis));
    }

    private void trackSilence(boolean waiting, long nowMillis) {
        if (waiting && silentSinceMillis == NEVER) {
            silentSinceMillis = nowMillis;
        } else if (!waiting && !lost && suspectedMillis == NEVER && unreachable.isEmpty()) {
            silentSinceMillis = NEVER;
        }
    }

    private boolean isSilentForLong(long nowMillis) {
        return silentSinceMillis != NEVER
                && nowMillis - silentSinceMillis >= SUSPECT_MILLIS
                && nowMillis >= calmUntilMillis;
    }

    private List<EndpointId> probeSuspected(Collection<EndpointId> endpoints, int needed, long nowMillis) {
        int wanted = nowMillis - suspectedMillis < WIDEN_MILLIS ? 1 : needed;
        Set<EndpointId> tried = new HashSet<>(probed);
        tried.addAll(unreachable);
        List<EndpointId> next = endpoints.stream()
                .filter(endpoint -> !tried.contains(endpoint))
                .limit(Math.max(0, wanted - tried.size()))
                .toList();
        probed.addAll(next);
        return next;
    }

    private List<EndpointId> probeWhileLost(List<EndpointId> endpoints, long nowMillis) {
        if (nowMillis - lastProbeMillis < LOST_PROBE_MILLIS) {
            return List.of();
        }
        lastProbeMillis = nowMillis;
        if (probed.containsAll(endpoints)) {
            probed.clear();
        }
        List<EndpointId> next = endpoints.stream()
                .filter(endpoint -> !probed.contains(endpoint))
                .limit(1)
                .toList();
        probed.addAll(next);
        return next;
    }

    /**
     * Returns whether contact is lost.
     */
    public boolean isLost() {
        return lost;
    }

    /** A change of the verdict. */
    public enum Change {
        /** The verdict stays. */
        NONE,
        /** No endpoint is reached any more. */
        LOST,
        /** Endpoints are reached again. */
        REGAINED
    }

    /**
     * What is due.
     *
     * @param change the change of the verdict
     * @param probes endpoints to which to open a connection
     */
    public record Step(Change change, List<EndpointId> probes) {

        private static final Step NONE = new Step(Change.NONE, List.of());
    }
}
