package org.ragwortpitch.control;

import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.identity.EndpointId;

/**
 * An engine reported its load.
 *
 * @param endpoint the endpoint of the engine
 * @param report   the load report
 */
public record EndpointReported(EndpointId endpoint, LoadReport report) implements ControlMessage {}
