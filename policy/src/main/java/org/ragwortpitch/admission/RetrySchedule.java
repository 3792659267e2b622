package org.ragwortpitch.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.ragwortpitch.identity.AccountId;

/**
 * Tells refused callers when to come back: one after the other at the rate at which requests are served, in the order
 * in which they were refused. Each account has a sequence of its own, so that one whose callers come back early and
 * often only delays itself. Confined to one thread.
 */
public final class RetrySchedule {

    /** Shortest Retry-After, in milliseconds: about half a typical generation. */
    private static final long MIN_MILLIS = 400;

    /** Pause between two callers while the rate of service is unknown, in milliseconds. */
    private static final double DEFAULT_SPACING_MILLIS = 25;

    /** Shortest pause between two callers, in milliseconds, to which Retry-After is rounded. */
    private static final double MIN_SPACING_MILLIS = 10;

    /** Longest pause between two callers, in milliseconds. */
    private static final double MAX_SPACING_MILLIS = 500;

    /** From about this Retry-After on, in milliseconds, the pauses shrink: such a forecast is of no use. */
    private static final double HORIZON_MILLIS = 20_000;

    private final Map<AccountId, Double> slots = new HashMap<>();
    private double latestFirstSlot;

    /**
     * Returns the Retry-After of a refused request, in milliseconds.
     *
     * @param tokens         the KV cache tokens that the request needs
     * @param tokensPerMilli the tokens that waiting requests were lately served in a millisecond; empty if unknown
     */
    public long retryAfterMillis(AccountId account, long tokens, OptionalDouble tokensPerMilli, long nowMillis) {
        slots.values().removeIf(slot -> slot <= nowMillis);
        double spacing = tokensPerMilli.isPresent()
                ? Math.max(MIN_SPACING_MILLIS, Math.min(MAX_SPACING_MILLIS, tokens / tokensPerMilli.getAsDouble()))
                : DEFAULT_SPACING_MILLIS;
        Double previous = slots.get(account);
        double slot;
        if (previous == null) {
            slot = Math.max(nowMillis + MIN_MILLIS, latestFirstSlot + spacing);
            latestFirstSlot = slot;
        } else {
            double ahead = 1 + (previous - nowMillis) / HORIZON_MILLIS;
            slot = Math.max(nowMillis + MIN_MILLIS, previous + spacing * slots.size() / (ahead * ahead));
        }
        slots.put(account, slot);
        return (long) Math.ceil(slot - nowMillis);
    }
}
