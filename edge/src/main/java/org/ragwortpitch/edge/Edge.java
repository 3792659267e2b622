package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.ragwortpitch.clock.AgreedClock;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.contract.DirectoryForm;
import org.ragwortpitch.contract.InstanceSettings;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.draining.DrainWindow;
import org.ragwortpitch.edge.control.Control;
import org.ragwortpitch.edge.control.ControlListener;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.directory.SmallAnswer;
import org.ragwortpitch.edge.directory.SmallServer;
import org.ragwortpitch.edge.front.FrontServer;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.GossipSocket;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.edge.traffic.Accounts;
import org.ragwortpitch.edge.traffic.Demands;
import org.ragwortpitch.edge.traffic.Fleet;
import org.ragwortpitch.edge.traffic.Gateway;
import org.ragwortpitch.edge.traffic.GossipParts;
import org.ragwortpitch.edge.traffic.Gossiper;
import org.ragwortpitch.edge.traffic.RepeatBudgets;
import org.ragwortpitch.edge.traffic.Suspects;
import org.ragwortpitch.edge.traffic.TrafficParts;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.Life;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.PoolDemand;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * A daemon: one thread for traffic, one for control, and what passes between them.
 */
public final class Edge implements AutoCloseable {

    private static final Logger LOGGER = System.getLogger(Edge.class.getName());

    private static final int CONNECT_MILLIS = 700;

    /** How often ended windows of usage are looked for, in milliseconds. */
    private static final long USAGE_MILLIS = 500;

    /** How often the demand is measured, in milliseconds: several times in the span of its rate. */
    private static final long DEMAND_MILLIS = 500;

    /** The part of the time to stop after which idle connections are closed; callers have new addresses by then. */
    private static final double CLOSE_IDLE_SHARE = 0.7;

    /** The part of the time to stop after which the process ends, whatever is under way. */
    private static final double END_SHARE = 0.93;

    /** The most addresses that a caller is told; more are of no use to one. */
    private static final int MAX_ADDRESSES = 64;

    /** The fewest addresses that a caller is told, so that losing one instance leaves others. */
    private static final int MIN_ADDRESSES = 2;

    /**
     * How long callers may use an answer of the directory, in seconds: some use it three times as long, and still have
     * a new one before a daemon that is told to stop has gone.
     */
    private static final double TTL_SECONDS = 2;

    private static final int READY = 200;

    private static final int UNREADY = 503;

    private final Closer closer = new Closer();
    private final InstanceSettings settings;
    private final Daemon self;
    private final LongSupplier clockMillis;
    private final LongSupplier wallMillis;
    private final AgreedClock agreed;
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final EventLoop trafficLoop;
    private final EventLoop controlLoop;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final WindowCounts usage;
    private final PeerView peers;
    private final Accounts accounts;
    private final Demands demands = new Demands();
    private final Suspects suspects = new Suspects();
    private final Fleet fleet;
    private final RepeatBudgets repeats;
    private final Gateway gateway;
    private final Control control;
    private final FrontServer front;
    private final SmallServer ready;
    private final SmallServer directory;
    private final Gossiper gossiper;
    private volatile InstanceSettings.Bounds bounds;
    private Collection<Endpoint> endpoints = List.of();
    private boolean listed;

    /**
     * Makes a daemon that listens; {@link #start} has it follow the store.
     *
     * @param metricsPort where metrics are served
     */
    public Edge(InstanceSettings settings, int metricsPort, LongSupplier clockMillis, LongSupplier wallMillis) {
        this.settings = settings;
        this.bounds = settings.bounds();
        this.clockMillis = clockMillis;
        this.wallMillis = wallMillis;
        this.agreed = new AgreedClock(clockMillis.getAsLong(), wallMillis.getAsLong());
        this.peers = new PeerView(settings.instance(), settings.domain());
        trafficLoop = loop();
        controlLoop = loop();
        usage = new WindowCounts(bounds.usageWindowMillis());
        accounts = new Accounts(settings.firstStart());
        ConnectionPool connections = new ConnectionPool(trafficLoop, CONNECT_MILLIS, clockMillis);
        fleet = new Fleet(connections::forget);
        repeats = new RepeatBudgets(bounds, peers::count);
        gateway = new Gateway(parts(connections), new HttpCaller(trafficLoop, connections));
        front = closer.add(new FrontServer(
                trafficLoop, socketAddress(settings.frontAddress()), gateway::limits, gateway, clockMillis));
        GossipSocket socket = closer.add(
                new GossipSocket(trafficLoop, new InetSocketAddress(settings.ip(), settings.peerPort()), this::heard));
        self = new Daemon(
                settings.instance(),
                wallMillis.getAsLong(),
                settings.domain(),
                text(front.address()),
                text(socket.address()));
        gossiper = new Gossiper(gossipParts(), socket::send, this::endpointsChanged);
        ready = small(settings.readyAddress(), query -> readiness());
        directory = small(settings.directoryAddress(), this::directory);
        small(
                settings.ip() + ":" + metricsPort,
                query -> new SmallAnswer(READY, "text/plain; charset=utf-8", metrics.scrape()));
        control = control();
    }

    private void endpointsChanged(long offset) {
        controlLoop.execute(() -> control.endpointsChanged(offset));
    }

    private GossipParts gossipParts() {
        return new GossipParts(
                self, peers, fleet, accounts, demands, suspects, usage, this::isReady, agreed, clockMillis, wallMillis);
    }

    private TrafficParts parts(ConnectionPool connections) {
        return new TrafficParts(
                trafficLoop,
                clockMillis,
                this::agreedMillis,
                settings.domain(),
                connections,
                fleet,
                accounts,
                repeats,
                usage,
                demands,
                suspects,
                metrics);
    }

    private Control control() {
        ConnectionPool connections = new ConnectionPool(controlLoop, CONNECT_MILLIS, clockMillis);
        return new Control(
                controlLoop,
                new HttpCaller(controlLoop, connections),
                settings,
                self,
                new ToTraffic(),
                metrics,
                clockMillis,
                wallMillis,
                this::agreedMillis);
    }

    private long agreedMillis() {
        return wallMillis.getAsLong() + agreed.correctionMillis();
    }

    private SmallServer small(String address, Function<QueryStringDecoder, SmallAnswer> answers) {
        return closer.add(new SmallServer(trafficLoop, socketAddress(address), answers));
    }

    private void heard(Gossip gossip) {
        gossiper.heard(gossip);
    }

    private EventLoop loop() {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        closer.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        return group.next();
    }

    /**
     * Starts to follow the store and to tell other daemons.
     */
    public void start() {
        trafficLoop.scheduleWithFixedDelay(
                gossiper::tell, GossipRound.STEP_MILLIS, GossipRound.STEP_MILLIS, TimeUnit.MILLISECONDS);
        trafficLoop.scheduleWithFixedDelay(
                () -> handOver(usage.takeEnded(agreedMillis())), USAGE_MILLIS, USAGE_MILLIS, TimeUnit.MILLISECONDS);
        trafficLoop.scheduleWithFixedDelay(this::tellDemand, DEMAND_MILLIS, DEMAND_MILLIS, TimeUnit.MILLISECONDS);
        controlLoop.execute(control::start);
        Event started = Event.of("started").with("born", self.bornMillis());
        settings.summary().forEach(started::with);
        started.info(LOGGER);
    }

    /**
     * Tells where callers connect.
     */
    public InetSocketAddress frontAddress() {
        return front.address();
    }

    /**
     * Tells where the platform asks whether this daemon takes requests.
     */
    public InetSocketAddress readyAddress() {
        return ready.address();
    }

    /**
     * Tells where callers ask for addresses.
     */
    public InetSocketAddress directoryAddress() {
        return directory.address();
    }

    /**
     * Stops gracefully: takes no new callers, answers what was asked, hands duties and counts over.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void drain() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        Event.of("stopping").info(LOGGER);
        long graceMillis = bounds.graceMillis();
        long stopMillis = clockMillis.getAsLong();
        long endMillis = stopMillis + (long) (graceMillis * END_SHARE);
        trafficLoop.execute(() -> {
            front.drain();
            gateway.drain(new DrainWindow(stopMillis, endMillis));
        });
        controlLoop.execute(() -> control.leave(() -> {}));
        TimeUnit.MILLISECONDS.sleep((long) (graceMillis * CLOSE_IDLE_SHARE));
        trafficLoop.execute(() -> handOver(usage.takeAll()));
        do {
            trafficLoop.execute(front::closeIdle);
            TimeUnit.MILLISECONDS.sleep(100);
        } while (clockMillis.getAsLong() < endMillis && front.connections() > 0);
        Event.of("stopped").with("connections", front.connections()).info(LOGGER);
    }

    @Override
    public void close() {
        closer.close();
    }

    /**
     * Takes new settings over. Addresses can't change in a running process; bounds hold from now on.
     */
    public void reload(InstanceSettings settings) {
        trafficLoop.execute(() -> {
            bounds = settings.bounds();
            repeats.configure(settings.bounds());
        });
    }

    /**
     * Does something again and again on the control thread.
     *
     * @param millis the pause between, in milliseconds
     */
    public void everyMillis(long millis, Runnable action) {
        controlLoop.scheduleWithFixedDelay(action, millis, millis, TimeUnit.MILLISECONDS);
    }

    private boolean isReady() {
        return !stopping.get() && listed && gateway.deployment().isPresent();
    }

    private SmallAnswer readiness() {
        return isReady() ? SmallAnswer.text(READY, "ready\n") : SmallAnswer.text(UNREADY, "not ready\n");
    }

    private SmallAnswer directory(QueryStringDecoder query) {
        List<String> domains = query.parameters().getOrDefault(DirectoryForm.DOMAIN_FIELD, List.of(""));
        long now = clockMillis.getAsLong();
        var domain = new org.ragwortpitch.identity.FailureDomain(domains.get(0));
        List<Daemon> ready = new ArrayList<>(peers.ready(domain, now));
        if (isReady()) {
            ready.add(self);
        }
        List<Daemon> near =
                ready.stream().filter(daemon -> daemon.domain().equals(domain)).toList();
        List<Daemon> told = near.size() >= MIN_ADDRESSES ? near : ready;
        if (told.isEmpty()) {
            return SmallAnswer.text(UNREADY, "no daemon takes requests\n");
        }
        List<String> addresses =
                told.stream().limit(MAX_ADDRESSES).map(Daemon::frontAddress).toList();
        return SmallAnswer.json(DirectoryForm.answer(addresses, Math.min(bounds.maxTtlSeconds(), TTL_SECONDS)));
    }

    private void handOver(SortedMap<Long, Map<AccountId, Long>> counts) {
        if (!counts.isEmpty()) {
            controlLoop.execute(() -> control.recordUsage(counts));
        }
    }

    private void tellDemand() {
        Map<PoolId, PoolDemand> sample = demands.sample(fleet, clockMillis.getAsLong());
        Map<Long, Map<Life, Map<AccountId, Long>>> told = gossiper.toldCounts();
        controlLoop.execute(() -> {
            control.updatePoolDemands(sample);
            control.updatePeerCounts(told);
        });
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Brings what control hears to the traffic thread.
     */
    private final class ToTraffic implements ControlListener {

        @Override
        public void onDeployment(Deployment deployment) {
            trafficLoop.execute(() -> {
                gateway.apply(deployment);
                fleet.apply(endpoints, deployment, clockMillis.getAsLong());
                metrics.version(deployment.version());
            });
        }

        @Override
        public void onEndpoints(Collection<Endpoint> now, long changedOffset) {
            trafficLoop.execute(() -> {
                endpoints = now;
                gossiper.endpointsChangedAt(changedOffset);
                listed = true;
                gateway.deployment().ifPresent(deployment -> fleet.apply(now, deployment, clockMillis.getAsLong()));
            });
        }

        @Override
        public void onRoleChanges(Collection<EndpointId> changing) {
            trafficLoop.execute(() -> gossiper.changing(changing));
        }

        @Override
        public void onDaemons(Collection<Daemon> daemons) {
            trafficLoop.execute(() -> gossiper.apply(daemons));
        }
    }
}
