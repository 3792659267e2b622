package org.ragwortpitch.control;

import org.ragwortpitch.order.OrderOutcome;

/**
 * The result of sending an order to an engine.
 *
 * @param intentOffset the log offset of the intent of the order
 * @param outcome      the outcome; null if it is unknown, so that the order is resent
 */
record OrderAnswered(long intentOffset, OrderOutcome outcome) implements ControlMessage {}
