package org.ragwortpitch.membership;

import org.ragwortpitch.identity.Incarnation;

/**
 * A departed incarnation, which a late join record must not readmit.
 *
 * @param incarnation    the departed incarnation
 * @param departedOffset the log offset of the departure
 */
public record Tombstone(Incarnation incarnation, long departedOffset) {}
