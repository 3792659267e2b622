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
 * Applies each snapshot of control state to admission, dispatch, active calls and metrics, and publishes it. It is
 * published after admission and dispatch have applied it, so that readers never see a newer snapshot than these.
 */
final class SnapshotPublisher implements Consumer<Snapshot> {

    private final AtomicReference<Snapshot> latest;

    private final AdmissionControl admission;

    private final Dispatcher dispatcher;

    private final ActiveCalls active;

    private final ServerMetrics metrics;

    /**
     * Creates a publisher.
     *
     * @param latest     receives each snapshot once it is applied
     * @param admission  admits requests
     * @param dispatcher assigns requests to endpoints
     * @param active     the calls in progress; those with revoked API keys are ended
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
        Snapshot previous = latest.get();
        boolean configurationChanged = next.configuration() != previous.configuration();
        boolean dispatchChanged = configurationChanged
                || !next.members().equals(previous.members())
                || !next.endpointsWithOpenOrder().equals(previous.endpointsWithOpenOrder());
        admission.follow(next);
        if (dispatchChanged) {
            dispatcher.follow(next.configuration(), next.members().size(), next.endpointsWithOpenOrder());
        }
        latest.set(next);
        if (configurationChanged) {
            active.endWithdrawn(next.configuration());
            metrics.retainAccounts(next.configuration().accounts().stream()
                    .map(AccountRule::id)
                    .collect(Collectors.toSet()));
        }
        updateMetrics(next);
    }

    private void updateMetrics(Snapshot next) {
        metrics.control("applied_offset", next.appliedOffset());
        metrics.control("rules_version", next.configurationVersion());
        metrics.control("members", next.members().size());
    }
}
