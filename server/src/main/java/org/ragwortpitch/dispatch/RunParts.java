package org.ragwortpitch.dispatch;

import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * The parts of the daemon that runs use.
 *
 * @param dispatcher gives endpoints
 * @param engines    supplies clients of engines
 * @param budget     allows retries
 * @param suspects   knows the requests that crash endpoints
 * @param metrics    the metrics
 * @param clocks     the clocks
 */
public record RunParts(
        Dispatcher dispatcher,
        Engines engines,
        SharedRetryBudget budget,
        SuspectRegistry suspects,
        ServerMetrics metrics,
        Clocks clocks) {}
