package org.ragwortpitch.deployment;

/**
 * A prefix block of a prompt. Requests whose prompts have the same block at the same position may share its KV cache.
 *
 * @param id     identifies the content
 * @param tokens the length in tokens
 */
public record PrefixBlock(long id, int tokens) {}
