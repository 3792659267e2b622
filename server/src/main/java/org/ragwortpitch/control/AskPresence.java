package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.identity.Incarnation;

/**
 * Another member asks how far this one is, and for its word not to evict it.
 *
 * @param asker  the other member
 * @param result gets the answer
 */
public record AskPresence(Incarnation asker, CompletableFuture<PresenceAnswer> result) implements ControlMessage {}
