package org.ragwortpitch.control;

import org.ragwortpitch.identity.Incarnation;

/**
 * The progress of this daemon in the log.
 *
 * @param self             the incarnation of this daemon
 * @param appliedOffset    the last log offset that it has applied
 * @param contactAgeMillis the time since it was itself in contact with the head of the log, in milliseconds; -1 if
 *                         never
 * @param promised         whether it promises not to evict the querying member for the duration of a lease
 */
public record PresenceResponse(Incarnation self, long appliedOffset, long contactAgeMillis, boolean promised) {}
