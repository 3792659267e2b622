package org.ragwortpitch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ragwortpitch.placement.EngineEstimate;

/**
 * How many engines a demand needs: more at once, fewer only after the need was lower for a while, since an engine takes
 * seconds to come and prompts are read anew on it. Confined to one thread.
 */
public final class EngineNeed {

    /** The busy part of a reader at which prompts rarely wait, and which still carries the load if a domain is lost. */
    private static final double READER_BUSY_SHARE = 0.4;

    /** Streams that an engine makes at a pace within the usual pause between events, with room for bursts. */
    private static final int STREAMS_EACH = 24;

    private static final int FEWEST_READERS = 3;

    /** For how long a lower need has to last, in milliseconds: a few times until an engine has come and is warm. */
    private static final long LOWER_MILLIS = 9_000;

    private final Deque<Past> past = new ArrayDeque<>();
    private final EngineCount first;
    private boolean asked;

    /**
     * Makes a need without a past.
     *
     * @param first the engines that are needed until a demand is known
     */
    public EngineNeed(EngineCount first) {
        this.first = first;
    }

    /**
     * Tells the engines that are needed.
     *
     * @param domains the failure domains, each of which has one engine at least that makes tokens
     */
    public EngineCount count(PoolDemand demand, int domains, long nowMillis) {
        int readers = (int)
                Math.ceil(demand.readTokensPerMilli() / (EngineEstimate.READ_TOKENS_PER_MILLI * READER_BUSY_SHARE));
        int decoders = (demand.streams() + STREAMS_EACH - 1) / STREAMS_EACH;
        if (!asked) {
            asked = demand.readTokensPerMilli() > 0;
            past.clear();
            past.add(new Past(nowMillis, new EngineCount(first.readers(), Math.max(domains, first.decoders()))));
        }
        past.add(new Past(nowMillis, new EngineCount(Math.max(FEWEST_READERS, readers), Math.max(domains, decoders))));
        while (past.size() > 1 && nowMillis - past.peek().atMillis() > LOWER_MILLIS) {
            past.poll();
        }
        return new EngineCount(
                past.stream().mapToInt(one -> one.count().readers()).max().orElse(first.readers()),
                past.stream().mapToInt(one -> one.count().decoders()).max().orElse(domains));
    }

    /**
     * Tells whether callers were seen.
     */
    public boolean isAsked() {
        return asked;
    }

    /**
     * The need at a time.
     */
    private record Past(long atMillis, EngineCount count) {}
}
