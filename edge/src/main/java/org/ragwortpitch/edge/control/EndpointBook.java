package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.contract.EndpointForm;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.KeyedRecord;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * The endpoints that are listed. Entries may lapse while the store is away though their endpoint lives; one that is
 * missing soon after the store's return is kept until it must be back. Confined to the control thread.
 */
final class EndpointBook {

    private static final Logger LOGGER = System.getLogger(EndpointBook.class.getName());

    /** Until when after the store's return lapsed entries are back, in milliseconds; the platform's owners say two. */
    static final long BACK_MILLIS = 2_000;

    private final Map<EndpointId, Endpoint> listed = new HashMap<>();
    private final Set<EndpointId> missing = new HashSet<>();
    private long changedOffset = -1;

    /**
     * Takes all entries over.
     *
     * @param reachedMillis how long the store has been reached, in milliseconds
     */
    void loaded(List<KeyedRecord> records, long reachedMillis) {
        Set<EndpointId> present = records.stream()
                .filter(entry -> entry.value().length > 0)
                .map(entry -> EndpointForm.id(entry.key()))
                .collect(Collectors.toSet());
        for (EndpointId id : Set.copyOf(listed.keySet())) {
            if (!present.contains(id)) {
                removed(id, reachedMillis);
            }
        }
        changed(records, reachedMillis);
    }

    /**
     * Takes newer entries over.
     */
    void changed(List<KeyedRecord> records, long reachedMillis) {
        for (KeyedRecord entry : records) {
            EndpointId id = EndpointForm.id(entry.key());
            if (entry.value().length == 0) {
                removed(id, reachedMillis);
                changedOffset = Math.max(changedOffset, entry.offset());
                continue;
            }
            try {
                Endpoint now = EndpointForm.decode(entry.key(), entry.value());
                Endpoint before = listed.put(id, now);
                missing.remove(id);
                if (before == null || !now.isUsedLike(before)) {
                    changedOffset = Math.max(changedOffset, entry.offset());
                }
            } catch (FormException exception) {
                listed.remove(id);
                changedOffset = Math.max(changedOffset, entry.offset());
                Event.of("endpoint-unreadable")
                        .with("endpoint", id)
                        .with("reason", exception.getMessage())
                        .warn(LOGGER);
            }
        }
    }

    /**
     * Drops the entries that must be back by now and aren't.
     *
     * @return whether there were any
     */
    boolean dropMissing(long reachedMillis) {
        if (missing.isEmpty() || reachedMillis < BACK_MILLIS) {
            return false;
        }
        missing.forEach(listed::remove);
        missing.clear();
        return true;
    }

    /**
     * Tells the newest record that changed which endpoints can be used or how; -1 if there was none.
     */
    long changedOffset() {
        return changedOffset;
    }

    /**
     * Tells the endpoints. Missing ones count only in a pool that has lost most of its entries: an outage of the store
     * lets all lapse, while single ones that are missing after a cut have really left.
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

    private void removed(EndpointId id, long reachedMillis) {
        if (reachedMillis < BACK_MILLIS && listed.containsKey(id)) {
            missing.add(id);
        } else {
            listed.remove(id);
        }
    }
}
