package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.DutyId;

/**
 * A member claims a vacant duty. The record's offset becomes the duty's term, which is also its fencing token.
 *
 * @param duty the duty to claim
 */
public record DutyClaimed(DutyId duty) implements LogEntry {}
