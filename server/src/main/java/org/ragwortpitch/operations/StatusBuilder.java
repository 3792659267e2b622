package org.ragwortpitch.operations;

import java.util.List;
import java.util.Locale;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.dispatch.Dispatcher;
import org.ragwortpitch.dispatch.EndpointStatus;
import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.operator.AccountLine;
import org.ragwortpitch.operator.EndpointLine;
import org.ragwortpitch.operator.StatusReport;

/**
 * Builds status reports.
 *
 * @param instance   the daemon's instance
 * @param admission  supplies the owners and the counters of accounts
 * @param dispatcher supplies the state of endpoints
 */
public record StatusBuilder(InstanceId instance, AdmissionControl admission, Dispatcher dispatcher) {

    /**
     * Builds a report.
     *
     * @param snapshot  the control state
     * @param nowMillis the time of the monotonic clock
     */
    public StatusReport build(Snapshot snapshot, long nowMillis) {
        boolean neverContacted = snapshot.contactMillis() == Long.MIN_VALUE;
        return new StatusReport(
                instance.value(),
                snapshot.self().value(),
                snapshot.isMember(),
                snapshot.configurationVersion(),
                snapshot.appliedOffset(),
                neverContacted ? -1 : nowMillis - snapshot.contactMillis(),
                snapshot.members(),
                snapshot.duties(),
                dispatcher.status().stream().map(StatusBuilder::endpointLine).toList(),
                snapshot.configuration().accounts().stream()
                        .map(this::accountLine)
                        .toList());
    }

    private static EndpointLine endpointLine(EndpointStatus status) {
        EndpointRule rule = status.rule();
        LoadReport report = status.report();
        return new EndpointLine(
                rule.id().value(),
                rule.pool().value(),
                rule.failureDomain().value(),
                report == null ? rule.role().name().toLowerCase(Locale.ROOT) : report.role(),
                rule.supply().name().toLowerCase(Locale.ROOT),
                rule.costMicrosPerHour(),
                status.ownRequests(),
                report == null ? -1 : report.running(),
                report == null ? -1 : report.queued());
    }

    private AccountLine accountLine(AccountRule rule) {
        List<String> owners =
                admission.ownersOf(rule.id()).stream().map(Incarnation::value).toList();
        return new AccountLine(
                rule.id().value(),
                rule.weight(),
                rule.tokens().perSecond(),
                rule.tokens().burst(),
                owners,
                admission.counters().admittedCount(rule.id()),
                admission.counters().overRateCount(rule.id()));
    }
}
