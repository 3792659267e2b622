package org.ragwortpitch.control;

import org.ragwortpitch.identity.Incarnation;

/**
 * How far this daemon is.
 *
 * @param self             its incarnation
 * @param appliedOffset    how far it has applied the log
 * @param contactAgeMillis how long ago it was itself in touch with the log's head, in milliseconds; -1 if never
 * @param promised         whether it gives its word not to evict the asker for the length of a lease
 */
public record PresenceAnswer(Incarnation self, long appliedOffset, long contactAgeMillis, boolean promised) {}
