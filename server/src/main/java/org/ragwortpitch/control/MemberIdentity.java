package org.ragwortpitch.control;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * The identity and addresses that a daemon announces when it joins.
 *
 * @param instance      the instance that it runs on
 * @param failureDomain the failure domain of the instance
 * @param callerAddress the address for callers, as host and port
 * @param peerAddress   the address for other daemons, as host and port
 */
public record MemberIdentity(
        InstanceId instance, FailureDomain failureDomain, String callerAddress, String peerAddress) {}
