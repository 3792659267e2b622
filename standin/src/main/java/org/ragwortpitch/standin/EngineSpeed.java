package org.ragwortpitch.standin;

/**
 * How fast an engine stand-in works. A step reads some prompt tokens and generates one token for each running request.
 *
 * @param stepMicros         what a step takes in any case, in microseconds
 * @param perRequestMicros   what each running request adds to a step, in microseconds
 * @param prefillTokenMicros what each prompt token that is read adds to a step, in microseconds
 * @param maxBatch           the most requests that run at once
 * @param prefillChunkTokens the most prompt tokens that a step reads
 * @param cachePieces        the most pieces in the prefix cache
 */
record EngineSpeed(
        long stepMicros,
        long perRequestMicros,
        long prefillTokenMicros,
        int maxBatch,
        int prefillChunkTokens,
        int cachePieces) {}
