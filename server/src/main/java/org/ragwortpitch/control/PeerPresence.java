package org.ragwortpitch.control;

import org.ragwortpitch.membership.Witness;

/**
 * Another member has told how far it is.
 *
 * @param progress its word
 */
public record PeerPresence(Witness progress) implements ControlMessage {}
