package org.ragwortpitch.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.standin.FaultProxy;

/**
 * A system under test: three daemons in three failure domains, the store, two plain endpoints and three engines. A
 * fault proxy stands on the link from each daemon to the store and on the link to each endpoint, and each daemon has
 * paths of its own to the endpoints.
 */
final class SoakWorld implements AutoCloseable {

    static final String HOST = "paws.example";

    static final String KEY = "key";

    private static final int DAEMONS = 3;

    /** The jar of another version to run all daemons from; empty for the present one. */
    private static final String ONLY_VERSION = System.getProperty("soak.only", "");

    private static final int NETWORKS = 250;

    /** Modes to draw from while endpoints stutter; a mode that is listed more often is drawn more often. */
    private static final List<StandinEndpoint.Mode> FAILURES = List.of(
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.GOOD,
            StandinEndpoint.Mode.FULL,
            StandinEndpoint.Mode.FAILING);

    private static final String DEPLOYMENT =
            """
            {"Version":%1$d,"Routes":[
            {"Name":"ask","Host":"paws.example","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":2500,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150},
            {"Name":"once","Host":"paws.example","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":2500,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":1,"TargetGapMs":150},
            {"Name":"book","Host":"paws.example","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":1},
            {"Name":"added%1$d","Host":"paws.example","PathPrefix":"/added%1$d/","Kind":"safe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":2},
            {"Name":"check","Host":"paws.example","PathPrefix":"/check/","Kind":"safe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}},{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key","old%1$d"],"RatePerS":1000000,"Burst":1000000,
            "PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final Map<StandinEndpoint, FaultProxy> endpoints = new LinkedHashMap<>();
    private final Map<StandinEndpoint, StutteringLink> stutters = new LinkedHashMap<>();
    private final Map<StandinEndpoint, String[]> roles = new LinkedHashMap<>();
    private final Map<DaemonUnderTest, List<PartitionableLink>> endpointPaths = new HashMap<>();
    private final List<DaemonUnderTest> daemons = new ArrayList<>();
    private final long seed;
    private int version;

    SoakWorld(long seed) throws IOException {
        Path directory = Files.createTempDirectory("soak-" + seed + "-");
        this.seed = seed;
        add("i-app-1", "app", "");
        add("i-app-2", "app", "");
        add("i-llm-1", "llm", "decode");
        add("i-llm-2", "llm", "decode");
        add("i-llm-3", "llm", "prefill");
        changeDeployment();
        // Each run gets its own loopback network, so that concurrent runs don't share addresses.
        long run = ProcessHandle.current().pid() * 31 + seed;
        String network = "127." + (1 + run / NETWORKS % NETWORKS) + "." + run % NETWORKS + ".";
        for (int daemon = 1; daemon <= DAEMONS; daemon++) {
            List<PartitionableLink> paths = new ArrayList<>();
            Map<Integer, Integer> ports = new HashMap<>();
            for (FaultProxy endpoint : endpoints.values()) {
                PartitionableLink path = closer.add(new PartitionableLink(endpoint.port()));
                paths.add(path);
                ports.put(endpoint.port(), path.port());
            }
            int storePort = Integer.parseInt(store.addressWithPorts(ports).replaceAll(".*:", ""));
            FaultProxy link = new FaultProxy(() -> storePort);
            boolean skewed = daemon == DAEMONS && ONLY_VERSION.isEmpty();
            DaemonUnderTest added = closer.add(new DaemonUnderTest(
                    directory,
                    "front-" + daemon,
                    network + daemon,
                    "zone-" + daemon,
                    link,
                    skewed ? SkewedMain.class.getName() : "org.ragwortpitch.edge.Main",
                    classPaths(seed, skewed)));
            daemons.add(added);
            endpointPaths.put(added, paths);
            added.start();
        }
    }

    /**
     * Returns the versions that a daemon has in turn. With a previous version, daemons are replaced by the other one at
     * each start: from the previous one to the present one by even seeds, back from it by odd ones.
     */
    private static List<String> classPaths(long seed, boolean skewed) {
        String present = System.getProperty("java.class.path");
        String previous = System.getProperty("soak.previous", "");
        if (!ONLY_VERSION.isEmpty()) {
            return List.of(ONLY_VERSION);
        }
        if (previous.isEmpty() || skewed) {
            return List.of(present);
        }
        return seed % 2 == 0 ? List.of(previous, present) : List.of(present, previous);
    }

    private void add(String id, String pool, String role) throws IOException {
        StandinEndpoint endpoint = closer.add(new StandinEndpoint(id));
        endpoint.pace("app".equals(pool) ? 10 : 20);
        endpoint.markAnswers();
        StutteringLink stutter = closer.add(new StutteringLink(endpoint.port(), seed * 31 + stutters.size()));
        stutters.put(endpoint, stutter);
        endpoints.put(endpoint, closer.add(new FaultProxy(stutter::port)));
        roles.put(endpoint, new String[] {pool, role});
        publish(endpoint, "ready");
    }

    /**
     * Publishes an endpoint in the store in the given state.
     *
     * @param state {@code ready} or {@code draining}
     */
    void publish(StandinEndpoint endpoint, String state) {
        String[] role = roles.get(endpoint);
        endpoint.list(store, endpoints.get(endpoint).port(), role[0], role[1], state);
    }

    /**
     * Writes the next deployment version, with a different additional route and a different second API key.
     */
    synchronized void changeDeployment() {
        version++;
        store.put("keyed.op", "config", DEPLOYMENT.formatted(version));
    }

    StandinStore store() {
        return store;
    }

    List<StandinEndpoint> endpoints() {
        return List.copyOf(endpoints.keySet());
    }

    FaultProxy link(StandinEndpoint endpoint) {
        return endpoints.get(endpoint);
    }

    /**
     * Lets all endpoints write some answers once more, and fail some requests.
     *
     * @param failureSeed from which the requests that fail are drawn
     */
    void stutter(ExtraAnswer extra, long failureSeed) {
        int[] statuses = {500, 503};
        int number = 0;
        for (StandinEndpoint endpoint : endpoints()) {
            Random failures = new Random(failureSeed * 31 + number);
            endpoint.failAfterRunning(statuses[number++ % statuses.length]);
            endpoint.modes(() -> FAILURES.get(failures.nextInt(FAILURES.size())));
            stutters.get(endpoint).stutter(extra);
        }
    }

    /** Ends {@link #stutter}. */
    void endStutter() {
        endpoints().forEach(endpoint -> {
            endpoint.mode(StandinEndpoint.Mode.GOOD);
            stutters.get(endpoint).stutter(ExtraAnswer.NONE);
        });
    }

    /** Returns how many answers were written once more. */
    int extraAnswers() {
        return stutters.values().stream().mapToInt(StutteringLink::extraAnswers).sum();
    }

    /** Cuts a daemon off from all endpoints. */
    void partition(DaemonUnderTest daemon, PartitionableLink.Partition kind) {
        endpointPaths.get(daemon).forEach(path -> attempt(() -> path.partition(kind)));
    }

    /** Ends {@link #partition}. */
    void heal(DaemonUnderTest daemon) {
        endpointPaths.get(daemon).forEach(path -> attempt(path::heal));
    }

    private static void attempt(LinkChange change) {
        try {
            change.apply();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** A change of a link. */
    @FunctionalInterface
    private interface LinkChange {

        void apply() throws IOException;
    }

    List<DaemonUnderTest> daemons() {
        return daemons;
    }

    @Override
    public void close() {
        closer.close();
    }
}
