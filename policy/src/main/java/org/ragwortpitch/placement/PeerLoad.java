package org.ragwortpitch.placement;

/**
 * Load that another daemon has in flight on an engine.
 *
 * @param running       the requests in flight
 * @param kvCacheTokens the KV cache tokens that these need
 * @param prefillTokens the prompt tokens still to be prefilled
 */
public record PeerLoad(int running, long kvCacheTokens, long prefillTokens) {}
