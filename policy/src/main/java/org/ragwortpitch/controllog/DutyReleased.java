package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.DutyId;

/**
 * A holder releases a duty after it has stopped acting under it.
 *
 * @param duty the duty to release
 * @param term the term that ends
 */
public record DutyReleased(DutyId duty, long term) implements LogEntry {}
