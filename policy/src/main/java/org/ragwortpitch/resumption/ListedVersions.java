package org.ragwortpitch.resumption;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * The software versions that the engines of a pool have had lately, as far as this daemon has seen them listed.
 * Confined to one thread.
 */
public final class ListedVersions {

    /** How long a version that is no longer listed may have begun streams that callers take up, in milliseconds. */
    static final long MAX_STREAM_MILLIS = 30_000;

    /**
     * Age up to which a reading of the list counts as current, in milliseconds. Daemons read it at shorter intervals,
     * and none sends to an engine within 1.5 s of its first listing while it has others.
     */
    static final long MAX_AGE_MILLIS = 3_000;

    private final Map<SoftwareVersion, Long> lastListedMillis = new HashMap<>();
    private final boolean firstStart;
    private Set<SoftwareVersion> listed = Set.of();
    private boolean isRead;
    private long readMillis;
    private long watchedSinceMillis;

    /**
     * Creates a record without any reading.
     *
     * @param firstStart whether no stream can have begun before the first reading, as the whole fleet starts with it
     */
    public ListedVersions(boolean firstStart) {
        this.firstStart = firstStart;
    }

    /**
     * Records that the list was read.
     *
     * @param versions the versions of all engines in it, also of those that are leaving
     */
    public void read(Collection<SoftwareVersion> versions, long nowMillis) {
        if (!isRead) {
            watchedSinceMillis = firstStart ? nowMillis - MAX_STREAM_MILLIS : nowMillis;
        } else if (nowMillis - readMillis > MAX_AGE_MILLIS) {
            // Versions may have come and gone unseen between two readings that are far apart.
            watchedSinceMillis = nowMillis;
        }
        isRead = true;
        readMillis = nowMillis;
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
        listed = new HashSet<>(versions);
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
        lastListedMillis.values().removeIf(atMillis -> nowMillis - atMillis > MAX_STREAM_MILLIS);
    }

    /**
     * Returns the only version that can have begun a stream which is taken up now; empty if there may be several.
     */
    public Optional<SoftwareVersion> only(long nowMillis) {
        boolean isCurrent = isRead && nowMillis - readMillis <= MAX_AGE_MILLIS;
        boolean isWatched = nowMillis - watchedSinceMillis >= MAX_STREAM_MILLIS;
        return isCurrent && isWatched && lastListedMillis.size() == 1 && listed.size() == 1
                ? Optional.of(listed.iterator().next())
                : Optional.empty();
    }
}
