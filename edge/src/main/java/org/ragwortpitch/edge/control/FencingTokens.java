package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.OptionalLong;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DutyRecordCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.logging.Event;

/**
 * Derives fencing tokens from the generations of a group in the store. Generations that were given to holders are given
 * out again once the store has come back from an older copy, so a token also counts the eras since the first one that
 * any holder knew. Confined to the control thread.
 */
final class FencingTokens {

    private static final Logger LOGGER = System.getLogger(FencingTokens.class.getName());

    /** Exceeds the generations of one era: at one change a second, they would last for a century. */
    private static final long TOKENS_PER_ERA = 1L << 32;

    private static final long NONE = -1;

    private final StoreClient store;
    private long firstEra = Long.MAX_VALUE;
    private final Runnable onKnown;
    private long recordedGeneration = NONE;
    private boolean busy;

    /**
     * Creates tokens that are not known yet.
     *
     * @param onKnown called once the token of a generation is known
     */
    FencingTokens(StoreClient store, Runnable onKnown) {
        this.store = store;
        this.onKnown = onKnown;
        store.onRestored(() -> {
            recordedGeneration = NONE;
            busy = false;
        });
    }

    /**
     * Returns the token of a generation; empty until the store has the first era, which the call makes sure of. The
     * first era is read in each generation, as an earlier holder may have known an earlier one: its tokens were higher.
     */
    OptionalLong token(long generation) {
        OptionalLong era = store.era();
        if (era.isEmpty()) {
            return OptionalLong.of(generation);
        }
        if (recordedGeneration != generation) {
            load(generation);
            return OptionalLong.empty();
        }
        return OptionalLong.of((era.getAsLong() - firstEra) * TOKENS_PER_ERA + generation);
    }

    private void load(long generation) {
        if (busy) {
            return;
        }
        busy = true;
        store.call(
                StoreCodec.readCompacted(DutyRecordCodec.TOPIC, ""),
                0,
                response -> onLoaded(response, generation),
                reason -> busy = false);
    }

    private void onLoaded(CallResponse response, long generation) {
        busy = false;
        try {
            OptionalLong known = storedEra(response);
            firstEra = Math.min(
                    firstEra,
                    Math.min(known.orElse(Long.MAX_VALUE), store.firstEra().orElseThrow()));
            if (known.isPresent() && known.getAsLong() == firstEra) {
                know(generation);
            } else {
                record(generation);
            }
        } catch (CodecException exception) {
            logUnreadable(exception);
        }
    }

    private void know(long generation) {
        recordedGeneration = generation;
        onKnown.run();
    }

    private static void logUnreadable(CodecException exception) {
        Event.of("first-era-unreadable").with("reason", exception.getMessage()).warn(LOGGER);
    }

    private static OptionalLong storedEra(CallResponse response) throws CodecException {
        if (!response.isOk()) {
            throw new CodecException("load returned status " + response.status());
        }
        for (KeyedRecord entry : StoreCodec.compactedPage(response.body()).records()) {
            if (DutyRecordCodec.FIRST_ERA_KEY.equals(entry.key())) {
                return decode(entry);
            }
        }
        return OptionalLong.empty();
    }

    /** Decodes the first era; one that can't be read is replaced, as if there were none. */
    private static OptionalLong decode(KeyedRecord entry) {
        try {
            return OptionalLong.of(DutyRecordCodec.decodeFirstEra(entry.value()));
        } catch (CodecException exception) {
            logUnreadable(exception);
            return OptionalLong.empty();
        }
    }

    private void record(long generation) {
        busy = true;
        byte[] record = StoreCodec.encodeKeyed(DutyRecordCodec.FIRST_ERA_KEY, DutyRecordCodec.encodeFirstEra(firstEra));
        store.call(
                StoreCodec.append(DutyRecordCodec.TOPIC, List.of(record)),
                0,
                response -> {
                    busy = false;
                    if (response.isOk()) {
                        know(generation);
                    }
                },
                reason -> busy = false);
    }
}
