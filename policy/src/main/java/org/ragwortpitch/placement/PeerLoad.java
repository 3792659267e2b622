package org.ragwortpitch.placement;

/**
 * Load that another daemon has in flight on an engine.
 *
 * @param running       the requests in flight
 * @param heldTokens    the KV cache tokens that these need
 * @param readingTokens the prompt tokens still to be prefilled
 */
public record PeerLoad(int running, long heldTokens, long readingTokens) {}
