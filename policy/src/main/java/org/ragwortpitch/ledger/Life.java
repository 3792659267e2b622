package org.ragwortpitch.ledger;

import org.ragwortpitch.identity.InstanceId;

/**
 * One life of a daemon.
 *
 * @param daemon     the instance that it runs on
 * @param bornMillis when it began, in milliseconds since 1970
 */
public record Life(InstanceId daemon, long bornMillis) {}
