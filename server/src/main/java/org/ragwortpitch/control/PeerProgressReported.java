package org.ragwortpitch.control;

import org.ragwortpitch.membership.PeerProgress;

/**
 * Another member answered a query for its progress in the log.
 *
 * @param progress the progress that it reported
 */
public record PeerProgressReported(PeerProgress progress) implements ControlMessage {}
