package org.ragwortpitch.control;

import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.identity.EndpointId;

/**
 * An engine has told its load.
 *
 * @param endpoint the engine
 * @param report   what it told
 */
public record EndpointReported(EndpointId endpoint, LoadReport report) implements ControlMessage {}
