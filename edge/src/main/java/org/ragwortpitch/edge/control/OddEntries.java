package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.logging.Event;

/**
 * Reports the entries of a topic that can't be used, each once for a reason, however often its writer renews it or it
 * is read again. Confined to the control thread.
 */
final class OddEntries {

    private static final Logger LOGGER = System.getLogger(OddEntries.class.getName());

    /** Most keys that are remembered; beyond it, the oldest are reported again. */
    private static final int MAX_KEYS = 1_000;

    private final String event;
    private final String subject;
    private final Map<String, String> reasons = new LinkedHashMap<>();

    /**
     * Creates a record without entries.
     *
     * @param event   the event that is logged
     * @param subject what a key names in the log
     */
    OddEntries(String event, String subject) {
        this.event = event;
        this.subject = subject;
    }

    /**
     * Logs why an entry can't be used, unless this has been logged for its key.
     */
    void report(KeyedRecord entry, CodecException reason) {
        String before = reasons.put(entry.key(), reason.getMessage());
        if (reasons.size() > MAX_KEYS) {
            reasons.remove(reasons.keySet().iterator().next());
        }
        if (!reason.getMessage().equals(before)) {
            Event.of(event)
                    .with(subject, entry.key())
                    .with("offset", entry.offset())
                    .with("reason", reason.getMessage())
                    .with("remedy", "have its writer correct or remove the entry; it is left out until then")
                    .warn(LOGGER);
        }
    }

    /**
     * Forgets an entry that is sound again or gone.
     */
    void forget(String key) {
        reasons.remove(key);
    }
}
