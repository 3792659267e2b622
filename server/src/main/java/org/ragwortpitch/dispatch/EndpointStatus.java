package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.LoadReport;

/**
 * What a daemon knows of an endpoint, for showing.
 *
 * @param rule        its rule
 * @param ownRequests the requests that this daemon has under way there
 * @param report      its last load report, or null
 */
public record EndpointStatus(EndpointRule rule, int ownRequests, LoadReport report) {}
