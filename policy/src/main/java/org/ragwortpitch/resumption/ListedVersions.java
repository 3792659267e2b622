package org.ragwortpitch.resumption;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * The software versions that the engines of a pool have had lately, as far as this daemon has seen them listed. A
 * reading proves something of a stream only if it was sent after the attempt that takes the stream up had arrived: the
 * engine that began the stream was listed before then. When the answer is handled proves nothing, as it may have been
 * delayed on its way, or waited while the daemon stood still. Confined to one thread.
 */
public final class ListedVersions {

    /** How long a version that is no longer listed may have begun streams that callers take up, in milliseconds. */
    static final long MAX_STREAM_MILLIS = 30_000;

    private final Map<SoftwareVersion, Long> lastListedMillis = new HashMap<>();
    private final boolean firstStart;
    private Set<SoftwareVersion> listed = Set.of();
    private boolean isRead;
    private long sentMillis;
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
     * @param versions     the versions of all engines in it, also of those that are leaving
     * @param since        the versions of engines that were listed at any time since the previous reading
     * @param continuous   whether the reading shows all changes since the previous one, not just the present list
     * @param readSentMillis when the reading was sent
     */
    public void read(
            Collection<SoftwareVersion> versions,
            Collection<SoftwareVersion> since,
            boolean continuous,
            long readSentMillis,
            long nowMillis) {
        if (!isRead) {
            watchedSinceMillis = firstStart ? nowMillis - MAX_STREAM_MILLIS : nowMillis;
        } else if (!continuous) {
            // Versions may have come and gone unseen.
            watchedSinceMillis = nowMillis;
        }
        isRead = true;
        sentMillis = readSentMillis;
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
        since.forEach(version -> lastListedMillis.put(version, nowMillis));
        listed = Set.copyOf(versions);
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
        lastListedMillis.values().removeIf(atMillis -> nowMillis - atMillis > MAX_STREAM_MILLIS);
    }

    /**
     * Returns the only version that can have begun a stream; empty if there may be several.
     *
     * @param arrivedMillis when the attempt that takes the stream up arrived
     */
    public Optional<SoftwareVersion> only(long arrivedMillis, long nowMillis) {
        return isReadSince(arrivedMillis) && isOne(nowMillis)
                ? Optional.of(listed.iterator().next())
                : Optional.empty();
    }

    /**
     * Returns whether another reading may show the only version that can have begun a stream.
     *
     * @param arrivedMillis when the attempt that takes the stream up arrived
     */
    public boolean awaitsReading(long arrivedMillis, long nowMillis) {
        return !isReadSince(arrivedMillis) && isOne(nowMillis);
    }

    /**
     * An attempt that arrives within the same millisecond takes up a stream that had begun before: its engine had to be
     * read in the list first, and its first event to reach the caller.
     */
    private boolean isReadSince(long arrivedMillis) {
        return isRead && sentMillis >= arrivedMillis;
    }

    private boolean isOne(long nowMillis) {
        return nowMillis - watchedSinceMillis >= MAX_STREAM_MILLIS
                && lastListedMillis.size() == 1
                && listed.size() == 1;
    }
}
