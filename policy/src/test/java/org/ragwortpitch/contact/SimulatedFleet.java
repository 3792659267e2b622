package org.ragwortpitch.contact;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.ragwortpitch.contact.PoolContact.Change;
import org.ragwortpitch.contact.PoolContact.Step;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Daemons before a pool of three slow endpoints in simulated time. Requests take a while, in which their endpoint is
 * silent; every third is unsafe.
 */
final class SimulatedFleet {

    /** What makes a daemon believe that it has lost contact. */
    enum Verdict {
        CONNECTIONS,
        SILENCE
    }

    /** The path of a daemon to the endpoints. */
    private enum Path {
        OPEN,
        HANG,
        REFUSE
    }

    private static final long TICK_MILLIS = 50;

    private static final long GOSSIP_MILLIS = 200;

    private static final long SILENCE_MILLIS = 300;

    private static final long DEADLINE_MILLIS = 600;

    private static final int ENDPOINTS = 3;

    private static final int MAX_PEERS = 3;

    private static final double REQUESTS_PER_TICK = 0.4;

    private static final int MAX_EXECUTION_MILLIS = 550;

    private final SplittableRandom random;
    private final Verdict verdict;
    private final boolean passOn;
    private final List<SimulatedDaemon> daemons = new ArrayList<>();
    private final List<EndpointId> endpoints = new ArrayList<>();
    private final long[] pausedUntilMillis = new long[ENDPOINTS];
    private final Map<Integer, Integer> unsafeRuns = new HashMap<>();
    private long nowMillis = 10_000;
    private int requests;
    private int held;
    private int mostHandlers;
    private int losses;

    SimulatedFleet(int size, SplittableRandom random, Verdict verdict, boolean passOn) {
        this.random = random;
        this.verdict = verdict;
        this.passOn = passOn;
        for (int index = 0; index < ENDPOINTS; index++) {
            endpoints.add(new EndpointId("e-" + index));
        }
        for (int index = 0; index < size; index++) {
            daemons.add(new SimulatedDaemon("d-" + index));
        }
    }

    /** Cuts at least one daemon off and leaves at least one. */
    void cutSome() {
        List<SimulatedDaemon> shuffled = new ArrayList<>(daemons);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        int cut = 1 + random.nextInt(daemons.size() - 1);
        shuffled.subList(0, cut).forEach(daemon -> daemon.cut(random.nextBoolean() ? Path.HANG : Path.REFUSE));
    }

    void cutAll() {
        daemons.forEach(daemon -> daemon.cut(random.nextBoolean() ? Path.HANG : Path.REFUSE));
    }

    void heal() {
        daemons.forEach(daemon -> daemon.path = Path.OPEN);
    }

    /** Makes one endpoint silent for all; connections to it open. */
    void pauseOneEndpoint(long millis) {
        pausedUntilMillis[random.nextInt(ENDPOINTS)] = nowMillis + millis;
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            daemons.forEach(SimulatedDaemon::tick);
        }
    }

    void resetCounts() {
        held = 0;
        daemons.forEach(daemon -> {
            daemon.asked = 0;
            daemon.served = 0;
        });
    }

    /** Returns the share of first tries that were served at the daemons that are cut off, or at the others. */
    double servedShare(boolean atCut) {
        int asked = daemons.stream()
                .filter(daemon -> daemon.isCut() == atCut)
                .mapToInt(daemon -> daemon.asked)
                .sum();
        int served = daemons.stream()
                .filter(daemon -> daemon.isCut() == atCut)
                .mapToInt(daemon -> daemon.served)
                .sum();
        return asked == 0 ? 1 : (double) served / asked;
    }

    int lostContacts() {
        return (int) daemons.stream().filter(SimulatedDaemon::isLost).count();
    }

    /** Returns how many times a daemon has lost contact so far. */
    int lossesSeen() {
        return losses;
    }

    int heldRequests() {
        return held;
    }

    int mostHandlers() {
        return mostHandlers;
    }

    long repeatedUnsafe() {
        return unsafeRuns.values().stream().filter(runs -> runs > 1).count();
    }

    /** A request that an endpoint executes, or that waits on a path that hangs. */
    private record Run(int endpoint, long endMillis, boolean hangs) {}

    /** One daemon with the contact that is under test. */
    private final class SimulatedDaemon {

        private final InstanceId id;
        private final PoolContact contact = new PoolContact();
        private final List<Run> runs = new ArrayList<>();
        private final Map<EndpointId, Long> connectsFailMillis = new HashMap<>();
        private Path path = Path.OPEN;
        private long silentSinceMillis = -1;
        private boolean gossipLost;
        private int asked;
        private int served;

        SimulatedDaemon(String id) {
            this.id = new InstanceId(id);
        }

        boolean isCut() {
            return path != Path.OPEN;
        }

        boolean isLost() {
            return verdict == Verdict.CONNECTIONS
                    ? contact.isLost()
                    : silentSinceMillis >= 0 && nowMillis - silentSinceMillis >= SILENCE_MILLIS;
        }

        void cut(Path kind) {
            path = kind;
            runs.replaceAll(run -> new Run(run.endpoint(), nowMillis + DEADLINE_MILLIS, true));
            if (kind == Path.REFUSE) {
                runs.clear();
            }
        }

        void tick() {
            hear();
            if (nowMillis % GOSSIP_MILLIS == 0) {
                gossipLost = isLost();
            }
            boolean lostBefore = isLost();
            Step step = contact.advance(endpoints, !runs.isEmpty(), nowMillis);
            step.probes().forEach(this::probe);
            if (step.change() == Change.LOST) {
                runs.removeIf(Run::hangs);
            }
            if (runs.isEmpty()) {
                silentSinceMillis = -1;
            } else if (silentSinceMillis < 0) {
                silentSinceMillis = nowMillis;
            }
            losses += !lostBefore && isLost() ? 1 : 0;
            if (random.nextDouble() < REQUESTS_PER_TICK) {
                request();
            }
        }

        /** Ends requests, which is heard unless the path hangs or the endpoint pauses. */
        private void hear() {
            boolean heard = runs.removeIf(run ->
                    !run.hangs() && nowMillis >= run.endMillis() && nowMillis >= pausedUntilMillis[run.endpoint()]);
            runs.removeIf(run -> run.hangs() && nowMillis >= run.endMillis());
            if (heard) {
                contact.heard(nowMillis);
                silentSinceMillis = -1;
            }
            connectsFailMillis.entrySet().removeIf(connect -> {
                boolean due = nowMillis >= connect.getValue();
                if (due) {
                    contact.connectFailed(connect.getKey(), nowMillis);
                }
                return due;
            });
        }

        private void probe(EndpointId endpoint) {
            switch (path) {
                case OPEN -> contact.heard(nowMillis);
                case REFUSE -> contact.connectFailed(endpoint, nowMillis);
                default -> connectsFailMillis.put(endpoint, nowMillis + PoolContact.CONNECT_MILLIS);
            }
        }

        private void request() {
            requests++;
            asked++;
            List<ProxyPeer> peers = new ArrayList<>();
            daemons.stream()
                    .filter(peer -> passOn && peer != this && !peer.gossipLost)
                    .forEach(peer -> peers.add(new ProxyPeer(peer.id, peer.id.value(), true, 0)));
            switch (ServingPlan.of(isLost(), false, !peers.isEmpty())) {
                case HERE -> served += execute(requests) || path == Path.REFUSE && pass(peers) ? 1 : 0;
                case BY_PEER -> served += pass(peers) ? 1 : 0;
                default -> {
                    // Refused at once.
                }
            }
        }

        /** Passes the request on until a peer doesn't decline it. */
        private boolean pass(List<ProxyPeer> peers) {
            int handlers = 1;
            while (!peers.isEmpty() && handlers <= MAX_PEERS) {
                ProxyPeer chosen = ProxyPeer.choose(peers, requests).orElseThrow();
                peers.remove(chosen);
                mostHandlers = Math.max(mostHandlers, ++handlers);
                SimulatedDaemon peer = daemons.stream()
                        .filter(daemon -> daemon.id.equals(chosen.id()))
                        .findFirst()
                        .orElseThrow();
                if (ServingPlan.of(peer.isLost(), true, true) == ServingPlan.HERE) {
                    return peer.execute(requests);
                }
            }
            return false;
        }

        /** Sends the request to an endpoint, and returns whether it is answered in time. */
        private boolean execute(int request) {
            int endpoint = random.nextInt(ENDPOINTS);
            if (path == Path.REFUSE) {
                contact.connectFailed(endpoints.get(endpoint), nowMillis);
                return false;
            }
            boolean hangs = path == Path.HANG;
            long millis = hangs ? DEADLINE_MILLIS : TICK_MILLIS + random.nextInt(MAX_EXECUTION_MILLIS);
            runs.add(new Run(endpoint, nowMillis + millis, hangs));
            held += hangs ? 1 : 0;
            if (request % 3 == 0 && !hangs) {
                unsafeRuns.merge(request, 1, Integer::sum);
            }
            return !hangs && pausedUntilMillis[endpoint] <= nowMillis + millis;
        }
    }
}
