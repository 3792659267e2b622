package org.ragwortpitch.budget;

/**
 * The part of a retry budget that one daemon may spend.
 *
 * @param ofRatio the part of the retries allowed for the requests that this daemon received, from 0 to 1
 * @param ofSlack the part of the whole fleet's slack, from 0 to 1
 */
public record RetryShare(double ofRatio, double ofSlack) {}
