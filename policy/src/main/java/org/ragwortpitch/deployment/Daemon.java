package org.ragwortpitch.deployment;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * A daemon as it registers itself.
 *
 * @param id           the instance that it runs on
 * @param startMillis  when this incarnation started, in milliseconds since 1970
 * @param domain       the instance's failure domain
 * @param frontAddress where callers connect, as host and port
 * @param peerAddress  where other daemons send messages, as host and port
 */
public record Daemon(InstanceId id, long startMillis, FailureDomain domain, String frontAddress, String peerAddress) {}
