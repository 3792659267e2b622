package org.ragwortpitch.control;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * What a daemon tells of itself when it joins.
 *
 * @param instance      the instance that it runs on
 * @param failureDomain the instance's failure domain
 * @param callerAddress where callers reach it, as host and port
 * @param peerAddress   where other daemons reach it, as host and port
 */
public record MemberIdentity(
        InstanceId instance, FailureDomain failureDomain, String callerAddress, String peerAddress) {}
