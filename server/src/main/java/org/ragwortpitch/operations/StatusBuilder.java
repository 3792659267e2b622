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
 * Makes status reports.
 *
 * @param instance   the daemon's instance
 * @param admission  knows the accounts' homes and counts
 * @param dispatcher knows the endpoints
 */
public record StatusBuilder(InstanceId instance, AdmissionControl admission, Dispatcher dispatcher) {

    /**
     * Makes a report.
     *
     * @param snapshot  control state
     * @param nowMillis the present time, of the monotonic clock
     * @return the report
     */
    public StatusReport build(Snapshot snapshot, long nowMillis) {
        boolean never = snapshot.contactMillis() == Long.MIN_VALUE;
        return new StatusReport(
                instance.value(),
                snapshot.self().value(),
                snapshot.isMember(),
                snapshot.configurationVersion(),
                snapshot.appliedOffset(),
                never ? -1 : nowMillis - snapshot.contactMillis(),
                snapshot.members(),
                snapshot.duties(),
                dispatcher.status().stream().map(StatusBuilder::line).toList(),
                snapshot.configuration().accounts().stream().map(this::line).toList());
    }

    /**
     * Makes the line of an endpoint.
     *
     * @param status what is known of it
     * @return the line
     */
    private static EndpointLine line(EndpointStatus status) {
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

    /**
     * Makes the line of an account.
     *
     * @param rule its rule
     * @return the line
     */
    private AccountLine line(AccountRule rule) {
        List<String> homes =
                admission.homesOf(rule.id()).stream().map(Incarnation::value).toList();
        return new AccountLine(
                rule.id().value(),
                rule.weight(),
                rule.tokens().perSecond(),
                rule.tokens().burst(),
                homes,
                admission.tally().admittedOf(rule.id()),
                admission.tally().overRateOf(rule.id()));
    }
}
