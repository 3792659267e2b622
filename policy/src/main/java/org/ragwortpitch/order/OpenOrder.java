package org.ragwortpitch.order;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;

/**
 * An order that may still be under way.
 *
 * @param intentOffset   the offset of its intent, which is also its idempotency token
 * @param duty           the duty under which it was given
 * @param term           the term of that duty
 * @param writer         the daemon that may send it
 * @param writerInstance the instance of that daemon
 * @param order          the order
 */
public record OpenOrder(
        long intentOffset, DutyId duty, long term, Incarnation writer, InstanceId writerInstance, Order order) {}
