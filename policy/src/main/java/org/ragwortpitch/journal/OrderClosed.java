package org.ragwortpitch.journal;

import org.ragwortpitch.order.OrderOutcome;

/**
 * An order is known to be done, or known never to have been written.
 *
 * @param intentOffset the offset of the order's intent
 * @param outcome      how it ended
 */
public record OrderClosed(long intentOffset, OrderOutcome outcome) implements LogEntry {}
