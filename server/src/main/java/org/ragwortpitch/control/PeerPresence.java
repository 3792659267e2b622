package org.ragwortpitch.control;

import org.ragwortpitch.membership.Witness;

/**
 * Another member answered a query for its progress in the log.
 *
 * @param progress the progress that it reported
 */
public record PeerPresence(Witness progress) implements ControlMessage {}
