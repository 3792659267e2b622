package org.ragwortpitch.peering;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.Ran;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.RecordUsage;
import org.ragwortpitch.gateway.UsageSink;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Lets the finish of an answer out once its usage is safe: in the log or, when the log is slow or out, also in the
 * memory of two members in other failure domains, which write it when they can. If neither can be had, the answer fails
 * rather than go unbilled.
 *
 * @param control       sends messages to the control thread
 * @param network       asks other daemons
 * @param logWaitMillis how long to wait for the log before others are asked, in milliseconds
 * @param holdMillis    how long a finish waits at most, in milliseconds
 */
public record DurableUsageSink(
        Consumer<ControlMessage> control, PeerClient network, long logWaitMillis, long holdMillis)
        implements UsageSink {

    /**
     * How long to wait between two times that others are asked, in milliseconds.
     */
    private static final long ASK_AGAIN_MILLIS = 300;

    @Override
    public CompletionStage<Boolean> record(UsageEntry entry) {
        CompletableFuture<Long> durable = new CompletableFuture<>();
        control.accept(new RecordUsage(entry, durable));
        CompletableFuture<Boolean> safe = new CompletableFuture<>();
        durable.thenAccept(offset -> safe.complete(true));
        askLater(entry, safe, logWaitMillis);
        safe.completeOnTimeout(false, holdMillis, TimeUnit.MILLISECONDS);
        return safe.thenCompose(held -> held
                ? CompletableFuture.completedFuture(true)
                : CompletableFuture.failedFuture(new RefusedException(
                        ErrorKind.UNAVAILABLE,
                        Ran.YES,
                        0,
                        "the answer's usage could not be recorded, so its end is withheld: send the request again "
                                + "under the same request id")));
    }

    /**
     * Asks others to hold usage, after a while and as often as needed.
     *
     * @param entry       the usage
     * @param safe        done when the usage is safe
     * @param delayMillis how long to wait first, in milliseconds
     */
    private void askLater(UsageEntry entry, CompletableFuture<Boolean> safe, long delayMillis) {
        CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS).execute(() -> {
            if (safe.isDone()) {
                return;
            }
            network.replicateUsage(entry).thenAccept(held -> {
                if (held) {
                    safe.complete(true);
                } else {
                    askLater(entry, safe, ASK_AGAIN_MILLIS);
                }
            });
        });
    }
}
