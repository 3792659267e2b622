package org.ragwortpitch.placement;

import java.util.Optional;

/**
 * Where a generation goes.
 *
 * @param decoder       makes the tokens
 * @param reader        reads the prompt for it; empty if the decoder reads it itself
 * @param firstMillis   the estimated time to the first event, in milliseconds
 */
public record Placement(Engine decoder, Optional<Engine> reader, double firstMillis) {}
