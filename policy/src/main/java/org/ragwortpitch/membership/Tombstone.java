package org.ragwortpitch.membership;

import org.ragwortpitch.identity.Incarnation;

/**
 * An incarnation that departed and must not come back by a late join record.
 *
 * @param incarnation    the departed incarnation
 * @param departedOffset where it departed
 */
public record Tombstone(Incarnation incarnation, long departedOffset) {}
