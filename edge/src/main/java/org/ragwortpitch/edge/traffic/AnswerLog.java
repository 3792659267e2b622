package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.logging.Event;

/**
 * What the log line at the end of a request tells of its way: where it was sent, and when its stream moved.
 */
final class AnswerLog {

    private final List<String> sentTo = new ArrayList<>();
    private int sends;
    private long firstEventMillis;
    private long lastChunkMillis;
    private long longestGapMillis;

    void recordSend(EndpointId endpoint) {
        sends++;
        sentTo.add(endpoint.value());
    }

    void recordProxiedBy(InstanceId daemon) {
        sentTo.add(daemon.value());
    }

    /**
     * Records the first event of a stream.
     *
     * @param sinceArrivalMillis time since the request arrived, in milliseconds
     */
    void recordFirstEvent(long sinceArrivalMillis) {
        firstEventMillis = sinceArrivalMillis;
    }

    void recordChunk(long nowMillis) {
        longestGapMillis = Math.max(longestGapMillis, lastChunkMillis == 0 ? 0 : nowMillis - lastChunkMillis);
        lastChunkMillis = nowMillis;
    }

    Event describe(Event event, Route route, int repeats) {
        return event.with("first-millis", firstEventMillis)
                .with("longest-gap-millis", longestGapMillis)
                .with("target", route.targetMillis() + "+" + route.targetGapMillis())
                .with("sends", sends)
                .with("repeats", repeats)
                .with("endpoints", sentTo.isEmpty() ? "-" : String.join(",", sentTo));
    }
}
