package org.ragwortpitch.ledger;

import org.ragwortpitch.identity.InstanceId;

/**
 * One incarnation of a daemon: the time between a start of its process and the end of that process.
 *
 * @param daemon      the instance that it runs on
 * @param startMillis when it started, in milliseconds since the epoch
 */
public record DaemonIncarnation(InstanceId daemon, long startMillis) {}
