package org.ragwortpitch.edge.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.ragwortpitch.edge.peer.GossipSocket;
import org.ragwortpitch.wire.generated.GossipProtocol.CrashedEndpoint;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * A listed daemon that records what the others tell it, and tells nothing.
 */
public final class GossipListener implements AutoCloseable {

    private final TestEventLoop loops = new TestEventLoop();
    private final List<Gossip> gossip = new CopyOnWriteArrayList<>();
    private final GossipSocket socket =
            new GossipSocket(loops.loop(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), gossip::add);

    /**
     * Lists it as a daemon.
     */
    public void list(StandinStore store, String name) {
        String address = "127.0.0.1:" + socket.address().getPort();
        store.put(
                "keyed.daemons",
                name,
                "{\"born\":1,\"domain\":\"a\",\"front\":\"" + address + "\",\"peer\":\"" + address + "\"}");
    }

    public int received() {
        return gossip.size();
    }

    /**
     * Returns the endpoints that daemons have told others to avoid.
     */
    public Set<String> avoidedEndpoints() {
        return gossip.stream()
                .flatMap(message -> message.getChangingList().stream())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the endpoints whose crash counts against requests, by the latest message.
     */
    public Set<String> endpointsWithSuspects() {
        Set<String> suspected = new HashSet<>();
        for (Gossip message : gossip) {
            for (CrashedEndpoint crash : message.getCrashedEndpointsList()) {
                if (crash.getRefuted() || crash.getRequestsCount() == 0) {
                    suspected.remove(crash.getEndpoint());
                } else {
                    suspected.add(crash.getEndpoint());
                }
            }
        }
        return suspected;
    }

    @Override
    public void close() {
        socket.close();
        loops.close();
    }
}
