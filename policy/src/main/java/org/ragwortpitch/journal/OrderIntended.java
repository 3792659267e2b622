package org.ragwortpitch.journal;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.order.Order;

/**
 * An order that the writer will send once it has read this record back as accepted.
 *
 * @param duty  the duty under which it is given
 * @param term  the writer's term of that duty
 * @param order the order
 */
public record OrderIntended(DutyId duty, long term, Order order) implements LogEntry {}
