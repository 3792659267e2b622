package org.ragwortpitch.edge.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.EndpointCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Registry of the listed endpoints. Entries can expire during an outage of the store although their endpoints are
 * alive, so an entry that is removed shortly after the store's return is retained until the endpoint must have listed
 * itself again. Confined to the control thread.
 */
final class EndpointRegistry {

    /** Time after the store's return within which the platform has live endpoints listed again, in milliseconds. */
    static final long RELIST_MILLIS = 2_000;

    private final Map<EndpointId, Endpoint> listed = new HashMap<>();
    private final FaultBarrier barrier = new FaultBarrier("apply endpoint");
    private final OddEntries oddEntries = new OddEntries("endpoint-unreadable", "endpoint");
    private final Set<EndpointId> missing = new HashSet<>();
    private Map<PoolId, Set<SoftwareVersion>> versionsSinceReading = new HashMap<>();
    private Map<EndpointIncarnation, Long> coldMillisSinceReading = new HashMap<>();
    private final Map<EndpointId, Long> offsets = new HashMap<>();
    private long changedOffset = -1;

    /**
     * Replaces all entries by those of a snapshot.
     *
     * @param reachableMillis how long the store has been reachable, in milliseconds
     */
    void replaceAll(List<KeyedRecord> records, long reachableMillis) {
        Set<EndpointId> present = records.stream()
                .filter(entry -> entry.value().length > 0)
                .map(entry -> EndpointCodec.id(entry.key()))
                .collect(Collectors.toSet());
        for (EndpointId id : Set.copyOf(listed.keySet())) {
            if (!present.contains(id)) {
                remove(id, reachableMillis);
            }
        }
        update(records, reachableMillis);
    }

    /**
     * Applies newer entries, in order.
     *
     * @param reachableMillis how long the store has been reachable, in milliseconds
     */
    void update(List<KeyedRecord> records, long reachableMillis) {
        records.forEach(entry -> barrier.run(entry.key(), () -> apply(entry, reachableMillis)));
    }

    private void apply(KeyedRecord entry, long reachableMillis) {
        EndpointId id = EndpointCodec.id(entry.key());
        if (entry.value().length == 0) {
            remove(id, reachableMillis);
            oddEntries.forget(entry.key());
            changedOffset = Math.max(changedOffset, entry.offset());
            return;
        }
        try {
            Endpoint now = EndpointCodec.decode(entry.key(), entry.value());
            Endpoint before = listed.put(id, now);
            addVersion(versionsSinceReading, now);
            missing.remove(id);
            oddEntries.forget(entry.key());
            Long offsetBefore = offsets.put(id, entry.offset());
            boolean readBefore = before != null && Long.valueOf(entry.offset()).equals(offsetBefore);
            if (now.coldMillis() > 0 && !readBefore) {
                coldMillisSinceReading.put(now.incarnation(), now.coldMillis());
            }
            if (before == null || !now.isRoutedLike(before) || isColdAgain(before, now)) {
                changedOffset = Math.max(changedOffset, entry.offset());
            }
        } catch (CodecException exception) {
            // The newest entry of a key is the one that counts: where it can't be read, what an earlier one said, such
            // as the address or that the endpoint doesn't leave, may no longer hold.
            if (listed.remove(id) != null) {
                changedOffset = Math.max(changedOffset, entry.offset());
            }
            offsets.remove(id);
            missing.remove(id);
            oddEntries.report(entry, exception);
        }
    }

    /** While an endpoint only warms up, its entries state less and less. */
    private static boolean isColdAgain(Endpoint before, Endpoint now) {
        return now.coldMillis() > Math.max(0, before.coldMillis());
    }

    /**
     * Returns what the reading whose entries have been applied shows of software versions and cold times. An engine
     * that came and went between two readings may have begun streams.
     */
    EndpointReading reading(TopicReading reading) {
        Map<PoolId, Set<SoftwareVersion>> now = new HashMap<>();
        listed.values().forEach(endpoint -> addVersion(now, endpoint));
        Map<PoolId, Set<SoftwareVersion>> since = versionsSinceReading;
        versionsSinceReading = new HashMap<>();
        Map<EndpointIncarnation, Long> coldMillis = coldMillisSinceReading;
        coldMillisSinceReading = new HashMap<>();
        return new EndpointReading(reading.sentMillis(), reading.continuous(), now, since, coldMillis);
    }

    private static void addVersion(Map<PoolId, Set<SoftwareVersion>> versions, Endpoint endpoint) {
        versions.computeIfAbsent(endpoint.pool(), pool -> new HashSet<>()).add(endpoint.version());
    }

    /**
     * Removes the missing entries once their endpoints should have listed themselves again.
     *
     * @return whether any were removed
     */
    boolean dropMissing(long reachableMillis) {
        if (missing.isEmpty() || reachableMillis < RELIST_MILLIS) {
            return false;
        }
        missing.forEach(this::drop);
        missing.clear();
        return true;
    }

    /**
     * Forgets the offset of the newest change, as the store gives its offsets out again.
     */
    void forgetOffsets() {
        changedOffset = -1;
        offsets.clear();
    }

    /**
     * Returns the offset of the newest record that changed which endpoints are usable or how; -1 if none did.
     */
    long changedOffset() {
        return changedOffset;
    }

    /**
     * Returns the listed endpoints. Missing ones are included only in a pool that has lost most of its entries: an
     * outage of the store expires all entries, while single ones that are missing after a lost connection have left.
     */
    Collection<Endpoint> endpoints() {
        if (missing.isEmpty()) {
            return List.copyOf(listed.values());
        }
        Map<PoolId, Integer> balance = new HashMap<>();
        listed.forEach((id, endpoint) -> balance.merge(endpoint.pool(), missing.contains(id) ? -1 : 1, Integer::sum));
        return listed.entrySet().stream()
                .filter(entry -> !missing.contains(entry.getKey())
                        || balance.get(entry.getValue().pool()) < 0)
                .map(Map.Entry::getValue)
                .toList();
    }

    private void remove(EndpointId id, long reachableMillis) {
        if (reachableMillis < RELIST_MILLIS && listed.containsKey(id)) {
            missing.add(id);
        } else {
            drop(id);
        }
    }

    private void drop(EndpointId id) {
        listed.remove(id);
        offsets.remove(id);
    }
}
