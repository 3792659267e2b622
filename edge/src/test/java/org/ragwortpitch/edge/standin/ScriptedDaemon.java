package org.ragwortpitch.edge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.peer.GossipSocket;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * A listed daemon that tells one other that it takes requests, and answers those with scripts.
 */
public final class ScriptedDaemon implements AutoCloseable {

    private static final long GOSSIP_MILLIS = 100;

    private static final String NAME = "front-9";

    private final Closer closer = new Closer();
    private final TestEventLoop loops = closer.add(new TestEventLoop());
    private final AtomicLong sequence = new AtomicLong();
    private final ScriptedPeer requests;
    private final GossipSocket socket = closer.add(
            new GossipSocket(loops.loop(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), gossip -> {}));

    /**
     * Lists a daemon.
     *
     * @param requests answers the requests that are passed on to it
     */
    public ScriptedDaemon(StandinStore store, ScriptedPeer requests) {
        this.requests = requests;
        String address = "127.0.0.1:" + socket.address().getPort();
        store.put(
                "keyed.daemons",
                NAME,
                "{\"born\":1,\"domain\":\"a\",\"front\":\"" + address + "\",\"peer\":\"" + address + "\"}");
    }

    /**
     * Tells a listed daemon from now on that it takes requests.
     */
    public void tell(StandinStore store, String daemon) throws IOException, InterruptedException {
        String address = peerAddress(store, daemon);
        int port =
                Integer.parseInt(requests.address().substring(requests.address().lastIndexOf(':') + 1));
        loops.loop()
                .scheduleAtFixedRate(
                        () -> socket.send(
                                address,
                                Gossip.newBuilder()
                                        .setInstance(NAME)
                                        .setBornMillis(1)
                                        .setSequence(sequence.incrementAndGet())
                                        .setReady(true)
                                        .setProxyPort(port)
                                        .setWallMillis(System.currentTimeMillis())
                                        .build()
                                        .toByteArray()),
                        0,
                        GOSSIP_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static String peerAddress(StandinStore store, String daemon) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + store.address() + "/log-newest?Topic=keyed.daemons&part=0");
        String newest = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        for (JsonNode item : new ObjectMapper().readTree(newest).get("items")) {
            if (item.get("Key").asText().equals(daemon)) {
                byte[] value = Base64.getDecoder().decode(item.get("Value").asText());
                return new ObjectMapper().readTree(value).get("peer").asText();
            }
        }
        throw new IOException(daemon + " is not listed: " + newest);
    }

    @Override
    public void close() {
        closer.close();
    }
}
