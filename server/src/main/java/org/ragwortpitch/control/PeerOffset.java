package org.ragwortpitch.control;

import org.ragwortpitch.identity.Incarnation;

/**
 * Another member told how far it has applied the log, and when it last reached the log.
 *
 * @param member        the member
 * @param appliedOffset how far it has applied the log
 * @param contactMillis when it last reached the log's head, of this process's monotonic clock and no later than true
 * @param heardMillis   when this was heard, of the monotonic clock
 */
public record PeerOffset(Incarnation member, long appliedOffset, long contactMillis, long heardMillis)
        implements ControlMessage {}
