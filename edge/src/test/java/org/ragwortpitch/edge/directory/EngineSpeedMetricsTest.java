package org.ragwortpitch.edge.directory;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.placement.EngineSpeed;

/**
 * Tests the metrics of learned engine speeds.
 */
class EngineSpeedMetricsTest {

    /** Guards against figures that operators can't see, or see in another unit than the name tells. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "ragwortpitch_engine_prefill_tokens_per_second{pool=\"llm\"} 37000.0",
                "ragwortpitch_engine_learned_seconds{figure=\"setup\",pool=\"llm\"} 0.05",
                "ragwortpitch_engine_learned_seconds{figure=\"first-event\",pool=\"llm\"} 0.047",
                "ragwortpitch_engine_learned_seconds{figure=\"step\",pool=\"llm\"} 0.0055"
            })
    void testLearnedSpeedsAreExportedByPool(String line) {
        byte[] scraped = new EdgeMetrics().scrape(consumer -> consumer.accept(new PoolId("llm"), EngineSpeed.NOMINAL));
        assertTrue(new String(scraped, StandardCharsets.UTF_8).contains(line), line);
    }
}
