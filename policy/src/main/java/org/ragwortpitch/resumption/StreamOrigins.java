package org.ragwortpitch.resumption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * The software versions that have begun the streams which callers may still take up: those of this daemon, and those
 * that others have told of. A stream has one origin, as only one daemon gets the attempt that begins it, so reports may
 * be lost, repeated and reordered. Bounded; confined to one thread.
 */
public final class StreamOrigins {

    /** Most streams that are kept; beyond it, the oldest are dropped. */
    static final int MAX_STREAMS = 20_000;

    /** How long after the caller's deadline a stream is kept, in milliseconds: clocks and transit differ. */
    private static final long MARGIN_MILLIS = 1_000;

    /** Longest wait of a caller for which its stream is kept, in milliseconds, whatever it states. */
    private static final long MAX_KEPT_MILLIS = 60_000;

    /** The oldest first. */
    private final Map<StreamId, StreamOrigin> own = new LinkedHashMap<>();

    private final Map<StreamId, StreamOrigin> told = new LinkedHashMap<>();

    /**
     * Records that a stream has begun here, or goes on here.
     */
    public void began(StreamOrigin origin) {
        long untilMillis = Math.min(origin.untilMillis(), origin.atMillis() + MAX_KEPT_MILLIS);
        put(own, new StreamOrigin(origin.stream(), origin.version(), origin.atMillis(), untilMillis));
    }

    /**
     * Learns an origin from another daemon; ignored if the stream began here.
     */
    public void learn(StreamOrigin origin, long nowMillis) {
        if (!isExpired(origin, nowMillis) && !own.containsKey(origin.stream())) {
            long untilMillis = Math.min(origin.untilMillis(), nowMillis + MAX_KEPT_MILLIS);
            put(told, new StreamOrigin(origin.stream(), origin.version(), origin.atMillis(), untilMillis));
        }
    }

    /**
     * Returns the version that began a stream; empty if it is not known.
     */
    public Optional<SoftwareVersion> versionOf(StreamId stream, long nowMillis) {
        StreamOrigin origin = own.getOrDefault(stream, told.get(stream));
        return Optional.ofNullable(origin)
                .filter(known -> !isExpired(known, nowMillis))
                .map(StreamOrigin::version);
    }

    /**
     * Returns the streams that have begun here since a time, to tell other daemons.
     */
    public Collection<StreamOrigin> ownSince(long sinceMillis, long nowMillis) {
        return since(own, sinceMillis, nowMillis);
    }

    /**
     * Returns all streams known to have begun since a time, to tell daemons of other failure domains.
     */
    public Collection<StreamOrigin> knownSince(long sinceMillis, long nowMillis) {
        List<StreamOrigin> known = new ArrayList<>(since(own, sinceMillis, nowMillis));
        known.addAll(since(told, sinceMillis, nowMillis));
        return known;
    }

    private static List<StreamOrigin> since(Map<StreamId, StreamOrigin> origins, long sinceMillis, long nowMillis) {
        origins.values().removeIf(origin -> isExpired(origin, nowMillis));
        return origins.values().stream()
                .filter(origin -> origin.atMillis() >= sinceMillis)
                .toList();
    }

    private static boolean isExpired(StreamOrigin origin, long nowMillis) {
        return nowMillis > origin.untilMillis() + MARGIN_MILLIS;
    }

    private static void put(Map<StreamId, StreamOrigin> origins, StreamOrigin origin) {
        origins.put(origin.stream(), origin);
        if (origins.size() > MAX_STREAMS) {
            origins.remove(origins.keySet().iterator().next());
        }
    }
}
