package org.ragwortpitch.control;

import org.ragwortpitch.membership.Witness;

/**
 * Another member has told how far it is.
 *
 * @param witness its word
 */
public record PeerPresence(Witness witness) implements ControlMessage {}
