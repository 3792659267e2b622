package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.LoadReport;

/**
 * The state of an endpoint as one daemon sees it, for status reports.
 *
 * @param rule        its rule
 * @param ownRequests the number of this daemon's requests in progress there
 * @param report      its last load report; null before the first
 */
public record EndpointStatus(EndpointRule rule, int ownRequests, LoadReport report) {}
