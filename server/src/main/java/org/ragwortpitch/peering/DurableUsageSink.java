package org.ragwortpitch.peering;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.RecordUsage;
import org.ragwortpitch.gateway.UsageSink;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Releases the end of a response once its usage is durable: in the log or, when the log is slow or unavailable, in the
 * memory of two members in other failure domains, which append it when they can. If neither succeeds in time, the
 * response fails rather than go unbilled.
 *
 * @param control       sends messages to the control thread
 * @param peers         replicates usage to other members
 * @param logWaitMillis time to wait for the log before usage is also replicated, in milliseconds
 * @param holdMillis    longest time that the end of a response is held back, in milliseconds
 */
public record DurableUsageSink(Consumer<ControlMessage> control, PeerClient peers, long logWaitMillis, long holdMillis)
        implements UsageSink {

    /**
     * Delay between two attempts to replicate usage, in milliseconds.
     */
    private static final long REPLICATION_RETRY_MILLIS = 300;

    @Override
    public CompletionStage<Boolean> record(UsageEntry entry) {
        CompletableFuture<Long> appended = new CompletableFuture<>();
        control.accept(new RecordUsage(entry, appended));
        CompletableFuture<Boolean> durable = new CompletableFuture<>();
        appended.thenAccept(offset -> durable.complete(true));
        replicateLater(entry, durable, logWaitMillis);
        durable.completeOnTimeout(false, holdMillis, TimeUnit.MILLISECONDS);
        return durable.thenCompose(isDurable -> isDurable
                ? CompletableFuture.completedFuture(true)
                : CompletableFuture.failedFuture(new RefusedException(
                        ErrorKind.UNAVAILABLE,
                        ExecutionState.YES,
                        0,
                        "the usage of the response could not be recorded, so its end is withheld: retry the "
                                + "request with the same request id")));
    }

    /**
     * Replicates usage after a delay, and again until it is durable or the response has failed.
     *
     * @param durable completed once the usage is durable or has timed out
     */
    private void replicateLater(UsageEntry entry, CompletableFuture<Boolean> durable, long delayMillis) {
        CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS).execute(() -> {
            if (durable.isDone()) {
                return;
            }
            peers.replicateUsage(entry).thenAccept(held -> {
                if (held) {
                    durable.complete(true);
                } else {
                    replicateLater(entry, durable, REPLICATION_RETRY_MILLIS);
                }
            });
        });
    }
}
