package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.identity.Incarnation;

/**
 * A query of another member for this member's progress in the log. It also asks this member to promise not to evict the
 * asker.
 *
 * @param asker  the incarnation of the other member
 * @param result completed on the control thread
 */
public record QueryPresence(Incarnation asker, CompletableFuture<PresenceResponse> result) implements ControlMessage {}
