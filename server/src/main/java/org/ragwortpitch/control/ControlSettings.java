package org.ragwortpitch.control;

import org.ragwortpitch.duty.DutyPlanner;
import org.ragwortpitch.membership.LeaseTiming;

/**
 * The settings of the control thread.
 *
 * @param identity    what the daemon tells of itself
 * @param timing      the times of the lease
 * @param planner     decides what to write for the sake of duties
 * @param freshMillis how old the rules may be when keys are trusted by them, in milliseconds
 * @param outageKeys  what becomes of keyed routes while the log is not reached
 */
public record ControlSettings(
        MemberIdentity identity, LeaseTiming timing, DutyPlanner planner, long freshMillis, OutageKeys outageKeys) {}
