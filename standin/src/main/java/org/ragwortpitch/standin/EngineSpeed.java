package org.ragwortpitch.standin;

/**
 * Timing and capacity of an engine stand-in. In a step, an engine prefills part of the waiting prompts and generates
 * one token for each prefilled request of its batch.
 *
 * @param stepMicros         fixed time of a step, in microseconds
 * @param perRequestMicros   time that each request of the batch adds to a step, in microseconds
 * @param prefillTokenMicros time that each prefilled prompt token adds to a step, in microseconds
 * @param maxBatch           the most requests in the batch
 * @param prefillChunkTokens the most prompt tokens prefilled in a step
 * @param cacheBlocks        the most prefix blocks in the prefix cache
 */
record EngineSpeed(
        long stepMicros,
        long perRequestMicros,
        long prefillTokenMicros,
        int maxBatch,
        int prefillChunkTokens,
        int cacheBlocks) {}
