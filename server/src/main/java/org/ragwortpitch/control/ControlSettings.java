package org.ragwortpitch.control;

import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.membership.LeaseTiming;

/**
 * The settings of the control thread.
 *
 * @param identity    the identity and addresses under which the daemon joins
 * @param timing      the durations of the membership lease
 * @param planner     decides which entries the duties of this daemon require
 * @param freshMillis how long after the last contact with the log's head an operation may still be started, in
 *                    milliseconds
 * @param outageKeys  how routes that need an API key are served while the log is unreachable
 */
public record ControlSettings(
        MemberIdentity identity, LeaseTiming timing, DutyPlanner planner, long freshMillis, OutageKeys outageKeys) {}
