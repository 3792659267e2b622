package org.ragwortpitch.deployment;

/**
 * A part of a prompt; equal parts at equal places may be shared between requests.
 *
 * @param id     its id
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
