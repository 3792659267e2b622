package org.ragwortpitch.placement;

/**
 * What another daemon has under way at an engine.
 *
 * @param running       the requests
 * @param heldTokens    the tokens of memory that these need
 * @param readingTokens the tokens of prompts that are still to be read
 */
public record PeerLoad(int running, long heldTokens, long readingTokens) {}
