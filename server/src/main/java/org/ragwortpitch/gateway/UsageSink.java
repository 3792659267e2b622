package org.ragwortpitch.gateway;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Records the usage of completed calls.
 */
@FunctionalInterface
public interface UsageSink {

    /**
     * Records usage.
     *
     * @param entry the usage
     * @return completes once the usage is durable, so that the finish event may be sent; fails with
     *     {@link org.ragwortpitch.refusal.RefusedException} if that can't be ensured in time
     */
    CompletionStage<Boolean> record(UsageEntry entry);
}
