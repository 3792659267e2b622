package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.order.Order;

/**
 * The intent of an order. The writer sends the order only after it has read this record back as accepted.
 *
 * @param duty  the duty under which the order is issued
 * @param term  the writer's term of that duty
 * @param order the order
 */
public record OrderIntended(DutyId duty, long term, Order order) implements LogEntry {}
