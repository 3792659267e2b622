package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.GossipListener;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.PartitionableLink.Partition;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests two daemons of which one, or each, is cut off from all endpoints, while callers, the store and the other daemon
 * still reach it.
 */
class CutFromEndpointsTest {

    /** How long after a cut its callers have to be served again, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Time after which a request that can't be served counts as held, in milliseconds. */
    private static final long HELD_MILLIS = 500;

    /** Time after which the usage of all requests is reported, in milliseconds. */
    private static final long USAGE_SETTLED_MILLIS = 6_000;

    /** Requests of callers that are judged, one after the other pause. */
    private static final int JUDGED_REQUESTS = 30;

    private static final long PAUSE_MILLIS = 100;

    private static final String WHOLE_STREAM =
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n";

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe","TimeoutMs":600,
            "TargetLatencyMs":121,"Service":"app","MaxAttempts":2},
            {"Name":"book","Host":"127.0.0.1","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":600,
            "TargetLatencyMs":121,"Service":"app","MaxAttempts":1},
            {"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":400,"Service":"llm","MaxAttempts":3,"AllowResume":true,"TargetGapMs":150}],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final List<StandinEndpoint> services = endpoints("a-1", "a-2", "a-3");
    private final List<StandinEndpoint> engines = endpoints("e-1", "e-2", "e-3");

    private List<StandinEndpoint> endpoints(String... ids) {
        return Arrays.stream(ids).map(id -> closer.add(new StandinEndpoint(id))).toList();
    }

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        services.forEach(service -> service.list(store, "app", "", "ready"));
        engines.forEach(engine -> engine.list(store, "llm", "decode", "ready"));
        services.forEach(service -> service.pace(20));
        engines.forEach(engine -> engine.pace(10));
    }

    @AfterEach
    void close() {
        closer.close();
    }

    /** The paths of one daemon to all endpoints. */
    private List<PartitionableLink> links() throws IOException {
        List<PartitionableLink> links = new ArrayList<>();
        for (StandinEndpoint endpoint : all()) {
            links.add(closer.add(new PartitionableLink(endpoint.port())));
        }
        return links;
    }

    private List<StandinEndpoint> all() {
        return Stream.concat(services.stream(), engines.stream()).toList();
    }

    private Edge startBehind(String instance, List<PartitionableLink> links) throws Exception {
        Map<Integer, Integer> ports = new HashMap<>();
        for (int index = 0; index < links.size(); index++) {
            ports.put(all().get(index).port(), links.get(index).port());
        }
        return daemons.startAt(instance, store.addressWithPorts(ports));
    }

    private static void partition(List<PartitionableLink> links, Partition kind) throws IOException {
        for (PartitionableLink link : links) {
            link.partition(kind);
        }
    }

    private int listedDaemons(Edge edge) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + edge.directoryAddress().getPort() + "/resolve?Name=x&Zone=a");
        String body = client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        return body.split("127.0.0.1").length - 1;
    }

    private void awaitBothListed(Edge... edges) throws Exception {
        for (Edge edge : edges) {
            TestDaemons.await(() -> listedDaemons(edge) == 2);
        }
    }

    /** Sends requests of each kind in turn, and returns what came back. */
    private List<CompletableFuture<HttpResponse<String>>> send(Edge edge, int requests) throws InterruptedException {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int request = 0; request < requests; request++) {
            sent.add(
                    switch (request % 3) {
                        case 0 -> daemons.ask(edge, "/check/x", Optional.empty());
                        case 1 -> daemons.ask(edge, "/book/x", Optional.empty());
                        default -> daemons.ask(edge, "/ask/x", Optional.of("a1:1000"));
                    });
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return sent;
    }

    private static int served(List<CompletableFuture<HttpResponse<String>>> sent) {
        int served = 0;
        for (CompletableFuture<HttpResponse<String>> response : sent) {
            if (response.handle((answer, failure) -> failure == null && isServed(answer))
                    .join()) {
                served++;
            }
        }
        return served;
    }

    private static boolean isServed(HttpResponse<String> answer) {
        return answer.statusCode() == 200
                && answer.headers().firstValue(Headers.SEAL).isPresent()
                && (answer.uri().getPath().startsWith("/ask/")
                        ? WHOLE_STREAM.equals(answer.body())
                        : answer.body().startsWith("done by "));
    }

    private void assertUnsafeRequestsRanOnce() {
        List<String> runs = services.stream()
                .flatMap(service -> service.executedPaths().stream())
                .filter(run -> run.startsWith("/book/"))
                .toList();
        assertEquals(Set.copyOf(runs).size(), runs.size(), runs.toString());
    }

    /** Guards against RECOVER: callers of a daemon that reaches no endpoint are not served by the daemons that do. */
    @ParameterizedTest
    @EnumSource
    void testCallersOfACutDaemonAreServed(Partition kind) throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        Edge other = daemons.start("front-2");
        awaitBothListed(cut, other);
        assertEquals(6, served(send(cut, 6)), "before the cut");

        partition(links, kind);
        send(cut, (int) (CONTACT_MILLIS / PAUSE_MILLIS));
        List<CompletableFuture<HttpResponse<String>>> atOther = send(other, JUDGED_REQUESTS);
        List<CompletableFuture<HttpResponse<String>>> atCut = send(cut, JUDGED_REQUESTS);
        int servedAtOther = served(atOther);
        int servedAtCut = served(atCut);

        assertUnsafeRequestsRanOnce();
        assertTrue(
                3 * servedAtCut >= 2 * servedAtOther,
                "served " + servedAtCut + " of " + JUDGED_REQUESTS + ", by the other daemon " + servedAtOther);
        for (PartitionableLink link : links) {
            link.heal();
        }
        TestDaemons.await(() -> served(send(cut, 6)) == 6);
        assertUnsafeRequestsRanOnce();
    }

    private long usage() {
        return store.duties().stream()
                .filter(duty -> duty.startsWith("/usage"))
                .distinct()
                .mapToLong(duty -> Long.parseLong(duty.replaceAll(".*\"families\":(\\d+).*", "$1")))
                .sum();
    }

    /** Guards against requests that both the daemon that passes them on and the one that serves them charge. */
    @Test
    void testRequestThatIsPassedOnIsChargedOnce() throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        Edge other = daemons.start("front-2");
        awaitBothListed(cut, other);
        partition(links, Partition.RESET);
        TestDaemons.await(() -> served(send(cut, 3)) == 3);
        TimeUnit.MILLISECONDS.sleep(USAGE_SETTLED_MILLIS);
        long before = usage();
        assertEquals(9, served(send(cut, 9)));
        TestDaemons.await(() -> usage() >= before + 9);
        TimeUnit.MILLISECONDS.sleep(USAGE_SETTLED_MILLIS);
        assertEquals(before + 9, usage());
    }

    /** Guards against sound endpoints that all daemons avoid as a cut one tells them to. */
    @ParameterizedTest
    @EnumSource
    void testCutDaemonHasNoEndpointAvoidedByOthers(Partition kind) throws Exception {
        engines.get(0).list(store, "llm", "prefill", "ready");
        assertEquals(Set.of(), toldByCutDaemon(kind).avoidedEndpoints());
    }

    /** Guards against sound requests that all daemons refuse as a cut one lost them at several endpoints. */
    @ParameterizedTest
    @EnumSource
    void testCutDaemonCondemnsNoRequest(Partition kind) throws Exception {
        engines.forEach(engine -> engine.pace(400));
        services.forEach(service -> service.pace(400));
        assertEquals(Set.of(), toldByCutDaemon(kind).endpointsWithSuspects());
    }

    /** Returns what a daemon tells others until three seconds after a cut that comes while requests are under way. */
    private GossipListener toldByCutDaemon(Partition kind) throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        GossipListener listener = closer.add(new GossipListener());
        listener.list(store, "front-9");
        TestDaemons.await(() -> listener.received() > 0);
        send(cut, 9);
        partition(links, kind);
        send(cut, (int) (CONTACT_MILLIS / PAUSE_MILLIS));
        return listener;
    }

    /** Guards against orders to engines that only a daemon without paths to them could give. */
    @Test
    void testCutDaemonGivesItsDutiesUpToOneInContact() throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        send(cut, 3);
        TestDaemons.await(() -> !store.dutyCalls().isEmpty());
        assertTrue(store.dutyCalls().stream().allMatch(call -> call.holder().equals("front-1")));
        Edge other = daemons.start("front-2");
        awaitBothListed(cut, other);
        partition(links, Partition.HANG);
        send(cut, JUDGED_REQUESTS);
        TestDaemons.await(
                () -> store.dutyCalls().stream().anyMatch(call -> call.holder().equals("front-2")));
    }

    /** Guards against usage that nobody reports as no daemon reaches an endpoint. */
    @Test
    void testDutiesAreKeptWhileNoDaemonReachesEndpoints() throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        assertEquals(3, served(send(cut, 3)));
        partition(links, Partition.RESET);
        send(cut, (int) (CONTACT_MILLIS / PAUSE_MILLIS));
        // A request whose connection broke counts too, as the endpoint may have executed it.
        TestDaemons.await(() -> usage() >= 3);
    }

    /** Guards against a directory that sends callers to a daemon that reaches no endpoint. */
    @Test
    void testDirectoryLeavesOutADaemonThatReachesNoEndpoint() throws Exception {
        List<PartitionableLink> links = links();
        Edge cut = startBehind("front-1", links);
        Edge other = daemons.start("front-2");
        awaitBothListed(cut, other);
        partition(links, Partition.HANG);
        send(cut, (int) (CONTACT_MILLIS / PAUSE_MILLIS));
        assertEquals(1, listedDaemons(other));
        assertEquals(1, listedDaemons(cut));
        for (PartitionableLink link : links) {
            link.heal();
        }
        awaitBothListed(cut, other);
    }

    /** Guards against requests that daemons pass to each other in a loop, or hold, while none reaches an endpoint. */
    @ParameterizedTest
    @EnumSource(
            value = Partition.class,
            names = {"HANG", "RESET"})
    void testRequestsAreRefusedAtOnceWhileNoDaemonReachesEndpoints(Partition kind) throws Exception {
        List<PartitionableLink> links = links();
        List<PartitionableLink> otherLinks = links();
        Edge cut = startBehind("front-1", links);
        Edge other = startBehind("front-2", otherLinks);
        awaitBothListed(cut, other);
        partition(links, kind);
        partition(otherLinks, kind);
        for (int request = 0; request < CONTACT_MILLIS / PAUSE_MILLIS; request++) {
            send(cut, 1);
            send(other, 1);
        }
        long start = System.nanoTime();
        for (CompletableFuture<HttpResponse<String>> response : send(cut, 3)) {
            assertEquals(503, response.get().statusCode());
            assertTrue(response.get().headers().firstValue("retry-after").isPresent());
        }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) < 3 * PAUSE_MILLIS + HELD_MILLIS);
        for (PartitionableLink link :
                Stream.concat(links.stream(), otherLinks.stream()).toList()) {
            link.heal();
        }
        TestDaemons.await(() -> served(send(cut, 6)) == 6);
    }
}
