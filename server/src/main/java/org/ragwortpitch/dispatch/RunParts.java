package org.ragwortpitch.dispatch;

import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * The parts of the daemon that runs use.
 *
 * @param dispatcher gives endpoints
 * @param engines    supplies clients of engines
 * @param budget     allows retries
 * @param metrics    the metrics
 * @param clocks     the clocks
 */
public record RunParts(
        Dispatcher dispatcher, Engines engines, SharedRetryBudget budget, ServerMetrics metrics, Clocks clocks) {}
