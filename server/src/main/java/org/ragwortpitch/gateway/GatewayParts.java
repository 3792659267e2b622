package org.ragwortpitch.gateway;

import org.apache.pekko.actor.ActorSystem;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.dispatch.ModelRunContext;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * The components of the daemon that the gateway uses.
 *
 * @param system    the actor system of all HTTP traffic
 * @param settings  the settings
 * @param clocks    the clocks
 * @param admission admits requests within their account's quota
 * @param runs      the components that execute model calls and choose endpoints
 * @param usage     records usage durably
 * @param active    the calls in progress
 * @param metrics   the metrics
 */
public record GatewayParts(
        ActorSystem system,
        GatewaySettings settings,
        Clocks clocks,
        AdmissionControl admission,
        ModelRunContext runs,
        UsageSink usage,
        ActiveCalls active,
        ServerMetrics metrics) {}
