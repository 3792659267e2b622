package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.resumption.StreamId;
import org.ragwortpitch.resumption.StreamOrigin;
import org.ragwortpitch.wire.generated.GossipProtocol.BegunStreams;

/**
 * Encodes the origins of streams for gossip, with ages instead of times, as each daemon has its own monotonic clock.
 */
final class StreamOriginCodec {

    private StreamOriginCodec() {}

    static List<BegunStreams> encode(Collection<StreamOrigin> origins, long nowMillis) {
        Map<SoftwareVersion, List<StreamOrigin>> byVersion =
                origins.stream().collect(Collectors.groupingBy(StreamOrigin::version));
        List<BegunStreams> messages = new ArrayList<>();
        byVersion.forEach((version, streams) -> {
            BegunStreams.Builder message = BegunStreams.newBuilder().setVersion(version.value());
            streams.forEach(origin -> message.addStreams(origin.stream().value())
                    .addAgeMillis((int) (nowMillis - origin.atMillis()))
                    .addLeftMillis((int) Math.max(0, origin.untilMillis() - nowMillis)));
            messages.add(message.build());
        });
        return messages;
    }

    static List<StreamOrigin> decode(BegunStreams message, long nowMillis) {
        SoftwareVersion version = new SoftwareVersion(message.getVersion());
        int count = Math.min(
                message.getStreamsCount(), Math.min(message.getAgeMillisCount(), message.getLeftMillisCount()));
        List<StreamOrigin> origins = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            origins.add(new StreamOrigin(
                    new StreamId(message.getStreams(index)),
                    version,
                    nowMillis - Math.max(0, message.getAgeMillis(index)),
                    nowMillis + Math.max(0, message.getLeftMillis(index))));
        }
        return origins;
    }
}
