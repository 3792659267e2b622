package org.ragwortpitch.edge.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.System.Logger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DutyRecordCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.duty.DutyHolder;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.logging.Event;

/**
 * Records in the store which member holds the duties under which fencing token, before it acts, so that the next holder
 * can tell whose calls may still be executed. Used where the platform doesn't check tokens. Confined to the control
 * thread.
 */
final class HolderRecords {

    private static final Logger LOGGER = System.getLogger(HolderRecords.class.getName());

    /** The key of the record of the newest holder. */
    private static final String KEY = "holder";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final StoreClient store;
    private final String member;
    private final Runnable onRecorded;
    private Optional<DutyHolder> predecessor = Optional.empty();
    private long recordedToken = -1;
    private boolean busy;
    private long resets;

    /**
     * Creates records of a member.
     *
     * @param onRecorded called once the store has recorded this member
     */
    HolderRecords(StoreClient store, String member, Runnable onRecorded) {
        this.store = store;
        this.member = member;
        this.onRecorded = onRecorded;
        store.onRestored(() -> {
            recordedToken = -1;
            busy = false;
            resets++;
        });
    }

    /**
     * Returns whether the store has recorded this member as the holder under a token, which the call makes sure of.
     */
    boolean isRecorded(long token) {
        if (recordedToken != token && !busy) {
            busy = true;
            long sentResets = resets;
            store.call(
                    StoreCodec.readCompacted(DutyRecordCodec.TOPIC, ""),
                    0,
                    response -> onLoaded(response, token, sentResets),
                    reason -> end(sentResets));
        }
        return recordedToken == token;
    }

    /**
     * Returns the holder that was recorded before this member; empty if there was none or its record can't be read.
     */
    Optional<DutyHolder> predecessor() {
        return predecessor;
    }

    private void end(long sentResets) {
        if (sentResets == resets) {
            busy = false;
        }
    }

    private void onLoaded(CallResponse response, long token, long sentResets) {
        if (sentResets != resets) {
            return;
        }
        try {
            if (!response.isOk()) {
                throw new CodecException("load returned status " + response.status());
            }
            // An earlier attempt to record this member under the same token may have been executed.
            storedHolder(response)
                    .filter(holder -> holder.token() != token)
                    .ifPresentOrElse(
                            holder -> predecessor = Optional.of(holder),
                            () -> predecessor = predecessor.filter(known -> known.isJustBefore(token)));
            record(token, sentResets);
        } catch (CodecException exception) {
            busy = false;
            logUnreadable(exception);
        }
    }

    private void record(long token, long sentResets) {
        byte[] record = StoreCodec.encodeKeyed(KEY, encode(new DutyHolder(token, member)));
        store.call(
                StoreCodec.append(DutyRecordCodec.TOPIC, List.of(record)),
                0,
                response -> {
                    end(sentResets);
                    if (response.isOk() && sentResets == resets) {
                        recordedToken = token;
                        onRecorded.run();
                    }
                },
                reason -> end(sentResets));
    }

    private static Optional<DutyHolder> storedHolder(CallResponse response) throws CodecException {
        for (KeyedRecord entry : StoreCodec.compactedPage(response.body()).records()) {
            if (KEY.equals(entry.key())) {
                return decode(entry.value());
            }
        }
        return Optional.empty();
    }

    private static byte[] encode(DutyHolder holder) {
        try {
            return MAPPER.writeValueAsBytes(Map.of("token", holder.token(), "member", holder.member()));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a map of a number and a text can't be encoded", exception);
        }
    }

    /** Decodes a holder; one that can't be read tells nothing of its calls. */
    private static Optional<DutyHolder> decode(byte[] value) {
        try {
            JsonNode tree = MAPPER.readTree(value);
            if (tree.path("token").isIntegralNumber() && tree.path("member").isTextual()) {
                return Optional.of(new DutyHolder(
                        tree.path("token").longValue(), tree.path("member").textValue()));
            }
            logUnreadable(new CodecException("token or member is missing"));
        } catch (IOException exception) {
            logUnreadable(new CodecException("the record is no JSON", exception));
        }
        return Optional.empty();
    }

    private static void logUnreadable(CodecException exception) {
        Event.of("duty-holder-unreadable")
                .with("reason", exception.getMessage())
                .warn(LOGGER);
    }
}
