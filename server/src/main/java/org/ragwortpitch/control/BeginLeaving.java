package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;

/**
 * The daemon begins a graceful shutdown, or, with its requests finished, ends it.
 *
 * @param last whether to depart, rather than only to take no new callers
 * @param done done when that is in the log, or cannot be written
 */
public record BeginLeaving(boolean last, CompletableFuture<Boolean> done) implements ControlMessage {}
