package org.ragwortpitch.journal;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * A daemon joins under the incarnation that writes this record.
 *
 * @param instance      the instance that it runs on
 * @param failureDomain the instance's failure domain
 * @param callerAddress where callers reach it, as host and port
 * @param peerAddress   where other daemons reach it, as host and port
 * @param headOffset    the log's head when the record was made; a record that arrives much later is void
 */
public record MemberJoined(
        InstanceId instance, FailureDomain failureDomain, String callerAddress, String peerAddress, long headOffset)
        implements LogEntry {}
