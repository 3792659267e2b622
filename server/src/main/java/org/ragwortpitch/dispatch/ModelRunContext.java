package org.ragwortpitch.dispatch;

import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * The collaborators that model runs share.
 *
 * @param dispatcher     assigns requests to endpoints
 * @param engines        supplies the clients of engines
 * @param budget         limits retries
 * @param poisonRequests tracks poison requests
 * @param metrics        the metrics
 * @param clocks         the clocks
 */
public record ModelRunContext(
        Dispatcher dispatcher,
        EngineClients engines,
        SharedRetryBudget budget,
        PoisonRequestRegistry poisonRequests,
        ServerMetrics metrics,
        Clocks clocks) {}
