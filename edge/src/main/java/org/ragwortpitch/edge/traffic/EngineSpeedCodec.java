package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.placement.EngineSpeed;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.SpeedReport;
import org.ragwortpitch.wire.generated.GossipProtocol;

/**
 * Encodes measured speeds of engines for gossip, with ages instead of times, and applies those of other daemons.
 * Confined to the traffic thread.
 */
final class EngineSpeedCodec {

    /** Most engines in one datagram, about 2 KB; further ones follow in later rounds. */
    static final int MAX_PER_DATAGRAM = 32;

    private EngineSpeedCodec() {}

    /**
     * Encodes reports that have samples since a time.
     *
     * @param source     what is reported of an engine; empty if nothing
     * @param roundIndex number of the round, which selects the engines if there are too many for a datagram
     */
    static List<GossipProtocol.EngineSpeed> encode(
            EndpointTable endpoints,
            Function<EngineState, Optional<SpeedReport>> source,
            long sinceMillis,
            long roundIndex,
            long nowMillis) {
        List<GossipProtocol.EngineSpeed> recent = new ArrayList<>();
        for (EndpointState state : endpoints.all()) {
            if (state.engine() != null) {
                source.apply(state.engine())
                        .filter(report -> report.atMillis() >= sinceMillis)
                        .ifPresent(report -> recent.add(encode(state.endpoint(), report, nowMillis)));
            }
        }
        if (recent.size() <= MAX_PER_DATAGRAM) {
            return recent;
        }
        int from = (int) Math.floorMod(roundIndex * MAX_PER_DATAGRAM, (long) recent.size());
        List<GossipProtocol.EngineSpeed> selected = new ArrayList<>();
        for (int index = 0; index < MAX_PER_DATAGRAM; index++) {
            selected.add(recent.get((from + index) % recent.size()));
        }
        return selected;
    }

    private static GossipProtocol.EngineSpeed encode(Endpoint endpoint, SpeedReport report, long nowMillis) {
        return GossipProtocol.EngineSpeed.newBuilder()
                .setEndpoint(endpoint.id().value())
                .setBornMillis(endpoint.startMillis())
                .setAgeMillis(nowMillis - report.atMillis())
                .setPrefillTokensPerMilli(report.speed().prefillTokensPerMilli())
                .setSetupMillis(report.speed().setupMillis())
                .setFirstEventMillis(report.speed().firstEventMillis())
                .setStepMillis(report.speed().stepMillis())
                .setSamples((int) Math.max(1, Math.round(report.samples())))
                .build();
    }

    /**
     * Learns the speeds that a daemon or a failure domain reports; those of other incarnations say nothing.
     */
    static void learn(
            EndpointTable endpoints, InstanceId source, List<GossipProtocol.EngineSpeed> messages, long nowMillis) {
        for (GossipProtocol.EngineSpeed message : messages) {
            EndpointState state = endpoints.find(new EndpointId(message.getEndpoint()));
            if (state == null || state.engine() == null || state.endpoint().startMillis() != message.getBornMillis()) {
                continue;
            }
            EngineSpeed speed = new EngineSpeed(
                    message.getPrefillTokensPerMilli(),
                    message.getSetupMillis(),
                    message.getFirstEventMillis(),
                    message.getStepMillis());
            long ageMillis = Math.max(0, Math.min(SpeedReport.MAX_AGE_MILLIS + 1, message.getAgeMillis()));
            SpeedReport report = new SpeedReport(speed, message.getSamples(), nowMillis - ageMillis);
            boolean learned = endpoints.speeds().learn(state.engine(), source, report, nowMillis);
            if (!learned || speed.hasFault()) {
                state.logSpeedFault(speed, source.value(), message.getAgeMillis());
            }
        }
    }
}
