package org.ragwortpitch.journal;

import org.ragwortpitch.identity.DutyId;

/**
 * A holder gives a duty back after it has stopped acting on it.
 *
 * @param duty the duty
 * @param term the term that ends
 */
public record DutyReleased(DutyId duty, long term) implements LogEntry {}
