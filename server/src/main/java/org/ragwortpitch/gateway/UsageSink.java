package org.ragwortpitch.gateway;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Takes the usage of finished answers.
 */
@FunctionalInterface
public interface UsageSink {

    /**
     * Records usage.
     *
     * @param entry the usage
     * @return done when the finish may be told to the caller
     */
    CompletionStage<Boolean> record(UsageEntry entry);
}
