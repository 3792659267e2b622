package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;

/**
 * Begins a graceful shutdown of this daemon or, once its requests have finished, completes it.
 *
 * @param departing whether to leave the membership, rather than only to announce the shutdown so that no new requests
 *                  arrive
 * @param done      completed with true at once for an announcement, and for a departure once it is in the log; with
 *                  false if this daemon is not a member when it is to depart
 */
public record ShutdownStep(boolean departing, CompletableFuture<Boolean> done) implements ControlMessage {}
