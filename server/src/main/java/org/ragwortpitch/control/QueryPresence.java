package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.identity.Incarnation;

/**
 * A query of another member for this member's progress in the log. It also asks this member to promise not to evict the
 * querying member.
 *
 * @param querier the incarnation of the querying member
 * @param result  completed on the control thread
 */
public record QueryPresence(Incarnation querier, CompletableFuture<PresenceResponse> result)
        implements ControlMessage {}
