package org.ragwortpitch.order;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;

/**
 * An order whose intent is in the log and which may still be in flight.
 *
 * @param intentOffset   the log offset of the intent, which is also the order's idempotency key
 * @param duty           the duty under which the order was issued
 * @param term           the term of that duty, which is also the order's fencing token
 * @param writer         the only daemon that may send the order
 * @param writerInstance the instance that runs that daemon
 * @param order          the order
 */
public record OpenOrder(
        long intentOffset, DutyId duty, long term, Incarnation writer, InstanceId writerInstance, Order order) {}
