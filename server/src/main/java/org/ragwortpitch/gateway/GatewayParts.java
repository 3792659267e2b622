package org.ragwortpitch.gateway;

import org.apache.pekko.actor.ActorSystem;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.dispatch.RunParts;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * The parts of the daemon that the gateway uses.
 *
 * @param system    the actor system of all traffic
 * @param settings  the settings
 * @param clocks    the clocks
 * @param admission admits requests
 * @param runs      the parts that runs use
 * @param usage     takes usage
 * @param active    the calls under way
 * @param metrics   the metrics
 */
public record GatewayParts(
        ActorSystem system,
        GatewaySettings settings,
        Clocks clocks,
        AdmissionControl admission,
        RunParts runs,
        UsageSink usage,
        ActiveCalls active,
        ServerMetrics metrics) {}
