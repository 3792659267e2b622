package org.ragwortpitch.control;

import org.ragwortpitch.order.OrderOutcome;

/**
 * An engine has answered an order, or has not.
 *
 * @param intentOffset the offset of the order's intent
 * @param outcome      the answer; null if there was none, so that the order is to be repeated
 */
record OrderAnswered(long intentOffset, OrderOutcome outcome) implements ControlMessage {}
