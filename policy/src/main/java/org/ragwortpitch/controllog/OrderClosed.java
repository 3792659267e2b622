package org.ragwortpitch.controllog;

import org.ragwortpitch.order.OrderOutcome;

/**
 * An order was completed, or is known never to have been sent.
 *
 * @param intentOffset the log offset of the order's intent
 * @param outcome      how the order was completed
 */
public record OrderClosed(long intentOffset, OrderOutcome outcome) implements LogEntry {}
