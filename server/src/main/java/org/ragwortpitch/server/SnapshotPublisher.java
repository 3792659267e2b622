package org.ragwortpitch.server;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.dispatch.Dispatcher;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * Keeps the last snapshot of control state and brings it to the parts that act by it. Whoever reads a snapshot reads
 * one that all parts have taken.
 */
final class SnapshotPublisher implements Consumer<Snapshot> {

    /**
     * Control state as last published.
     */
    private final AtomicReference<Snapshot> latest;

    /**
     * Admits requests.
     */
    private final AdmissionControl admission;

    /**
     * Gives requests endpoints.
     */
    private final Dispatcher dispatcher;

    /**
     * The calls under way.
     */
    private final ActiveCalls active;

    /**
     * The metrics.
     */
    private final ServerMetrics metrics;

    /**
     * Makes a follower that has seen nothing.
     *
     * @param latest     where snapshots are kept
     * @param admission  admits requests
     * @param dispatcher gives requests endpoints
     * @param active     the calls under way
     * @param metrics    the metrics
     */
    SnapshotPublisher(
            AtomicReference<Snapshot> latest,
            AdmissionControl admission,
            Dispatcher dispatcher,
            ActiveCalls active,
            ServerMetrics metrics) {
        this.latest = latest;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.active = active;
        this.metrics = metrics;
    }

    @Override
    public void accept(Snapshot next) {
        Snapshot last = latest.get();
        boolean changed = next.configuration() != last.configuration();
        boolean moved = changed
                || !next.members().equals(last.members())
                || !next.ordered().equals(last.ordered());
        admission.follow(next);
        if (moved) {
            dispatcher.follow(next.configuration(), next.members().size(), next.ordered());
        }
        latest.set(next);
        if (changed) {
            active.endWithdrawn(next.configuration());
            metrics.retainAccounts(next.configuration().accounts().stream()
                    .map(AccountRule::id)
                    .collect(Collectors.toSet()));
        }
        measure(next);
    }

    /**
     * Sets the metrics of control state.
     *
     * @param next the snapshot
     */
    private void measure(Snapshot next) {
        metrics.control("applied_offset", next.appliedOffset());
        metrics.control("rules_version", next.configurationVersion());
        metrics.control("members", next.members().size());
    }
}
