package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * A daemon joins as a member, under the incarnation that writes the record.
 *
 * @param instance      the instance that it runs on
 * @param failureDomain the instance's failure domain
 * @param callerAddress the address for callers, as host and port
 * @param peerAddress   the address for other daemons, as host and port
 * @param headOffset    the head of the log when the record was created; a record appended much later has no effect
 */
public record MemberJoined(
        InstanceId instance, FailureDomain failureDomain, String callerAddress, String peerAddress, long headOffset)
        implements LogEntry {}
