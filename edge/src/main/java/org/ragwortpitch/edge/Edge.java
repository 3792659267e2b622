package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.budget.RetryShares;
import org.ragwortpitch.clock.MedianClock;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.contact.PoolContact;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.edge.control.Control;
import org.ragwortpitch.edge.directory.AddressDirectory;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.directory.SmallAnswer;
import org.ragwortpitch.edge.directory.SmallServer;
import org.ragwortpitch.edge.front.FrontServer;
import org.ragwortpitch.edge.front.RequestHandler;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.ConnectionObserver;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.edge.http.ResponseMemory;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.GossipSocket;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.edge.peer.StoreContact;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.edge.traffic.AccountRateLimits;
import org.ragwortpitch.edge.traffic.EndpointContacts;
import org.ragwortpitch.edge.traffic.EndpointCrashCodec;
import org.ragwortpitch.edge.traffic.EndpointPacing;
import org.ragwortpitch.edge.traffic.EndpointPermits;
import org.ragwortpitch.edge.traffic.EndpointTable;
import org.ragwortpitch.edge.traffic.Gateway;
import org.ragwortpitch.edge.traffic.GossipContext;
import org.ragwortpitch.edge.traffic.Gossiper;
import org.ragwortpitch.edge.traffic.PoisonRequests;
import org.ragwortpitch.edge.traffic.PoolDemands;
import org.ragwortpitch.edge.traffic.ProxyPeers;
import org.ragwortpitch.edge.traffic.RetryBudgets;
import org.ragwortpitch.edge.traffic.TrafficContext;
import org.ragwortpitch.homes.Regions;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.poison.EndpointCrash;
import org.ragwortpitch.resumption.StreamOrigins;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * A daemon, which runs one thread for traffic and one for control. All state is confined to one of the two, and changes
 * pass between them as tasks of their event loops.
 */
public final class Edge implements AutoCloseable {

    private static final Logger LOGGER = System.getLogger(Edge.class.getName());

    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Interval between checks for ended usage windows, in milliseconds. */
    private static final long USAGE_MILLIS = 500;

    /** Interval between samples of the demand, in milliseconds; several fit into the period that its rate covers. */
    private static final long SAMPLE_MILLIS = 500;

    /** Contact with pools is checked every so many steps of gossip, that is, every 100 ms. */
    private static final int STEPS_BETWEEN_CONTACT_CHECKS = 2;

    private static final int OK = 200;

    private static final int UNAVAILABLE = 503;

    private final Closer closer = new Closer();
    private final InstanceSettings settings;
    private final Daemon self;
    private final LongSupplier clockMillis;
    private final LongSupplier wallMillis;
    private final MedianClock median;
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final EventLoop trafficLoop;
    private final EventLoop controlLoop;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final WindowCounts usage;
    private final PeerView peers;
    private final AccountRateLimits accounts;
    private final PoolDemands demands = new PoolDemands();
    private final StreamOrigins origins = new StreamOrigins();
    private final PoisonRequests poison = new PoisonRequests(this::recordPoison);
    private final EndpointTable table;
    private final EndpointContacts contacts;
    private final ResponseMemory responses = ResponseMemory.forTraffic();
    private final ConnectionPool connections;
    private final RetryBudgets retryBudgets;
    private final Gateway gateway;
    private final Control control;
    private final FrontServer front;
    private final FrontServer proxied;
    private final SmallServer ready;
    private final SmallServer directory;
    private final Gossiper gossiper;
    private final StoreUpdates storeUpdates;
    private volatile InstanceSettings.Bounds bounds;
    private final long createdMillis;
    private long gossipStep;

    /**
     * Creates a daemon whose servers are listening; {@link #start} begins to follow the store and to gossip.
     *
     * @param metricsPort port on which metrics are served
     * @param clockMillis the monotonic clock
     * @param wallMillis  this instance's wall clock, uncorrected
     */
    public Edge(InstanceSettings settings, int metricsPort, LongSupplier clockMillis, LongSupplier wallMillis) {
        this.settings = settings;
        this.bounds = settings.bounds();
        this.clockMillis = clockMillis;
        this.wallMillis = wallMillis;
        this.createdMillis = clockMillis.getAsLong();
        this.median = new MedianClock(clockMillis.getAsLong(), wallMillis.getAsLong());
        this.peers = new PeerView(settings.instance(), settings.domain());
        trafficLoop = newEventLoop();
        controlLoop = newEventLoop();
        usage = new WindowCounts(bounds.usageWindowMillis());
        accounts = new AccountRateLimits(settings.firstStart());
        contacts = new EndpointContacts(
                this::endpointTable, this::probe, poison, metrics, clockMillis, this::medianMillis);
        connections = connectionPool(contacts);
        EndpointPermits permits = new EndpointPermits(
                settings.instance(), () -> peers.daemons(clockMillis.getAsLong()), this::medianMillis);
        table = new EndpointTable(new EndpointPacing(permits, metrics), settings.firstStart(), connections::closeIdle);
        metrics.countEvacuatedDomains(() -> table.evacuations().domains().size());
        RetryShares shares = new RetryShares(settings.firstStart(), createdMillis);
        retryBudgets = new RetryBudgets(bounds, shares, peers::fleetSize, metrics::recordBudgetDenial);
        gateway = new Gateway(trafficContext(), new BufferingHttpCaller(trafficLoop, connections));
        front = frontServer(ConnectionPool.socketAddress(settings.frontAddress()), gateway::limits, gateway);
        InetSocketAddress peerAddress = new InetSocketAddress(settings.ip(), settings.peerPort());
        proxied = frontServer(peerAddress, gateway::limitsOfProxied, gateway::handleProxied);
        GossipSocket socket = closer.add(new GossipSocket(trafficLoop, peerAddress, this::onGossip));
        self = new Daemon(
                settings.instance(),
                wallMillis.getAsLong(),
                settings.domain(),
                ConnectionPool.hostAndPort(front.address()),
                ConnectionPool.hostAndPort(socket.address()));
        gossiper = new Gossiper(
                gossipContext(), socket::send, new AnnouncementsToControl(controlLoop, this::currentControl));
        storeUpdates = new StoreUpdates(
                trafficLoop, gateway, table, gossiper, poison, metrics, clockMillis, this::medianMillis);
        ready = listen(
                settings.readyAddress(),
                query -> isReady() ? SmallAnswer.text(OK, "ready\n") : SmallAnswer.text(UNAVAILABLE, "not ready\n"));
        directory = listen(settings.directoryAddress(), addresses()::answer);
        listen(
                settings.ip() + ":" + metricsPort,
                query -> new SmallAnswer(OK, "text/plain; charset=utf-8", metrics.scrape(table.speeds()::forEachPool)));
        control = control();
    }

    private AddressDirectory addresses() {
        Regions regions = new Regions(settings.regions());
        return new AddressDirectory(
                peers, self, regions, gateway::homesOfHost, this::status, table::pools, () -> bounds, clockMillis);
    }

    private FrontServer frontServer(InetSocketAddress address, Supplier<CallerLimits> limits, RequestHandler handler) {
        return closer.add(new FrontServer(trafficLoop, address, limits, handler, clockMillis));
    }

    private PeerStatus status() {
        long version = gateway.deployment().map(Deployment::version).orElse(0L);
        return new PeerStatus(
                isReady(),
                proxied.address().getPort(),
                contacts.lostPools(),
                new StoreContact(storeUpdates.storeReachable(), version));
    }

    private void probe(String address) {
        connections.probe(address, (int) PoolContact.CONNECT_MILLIS);
    }

    private void stepTraffic() {
        gossipStep++;
        front.recordTurn();
        proxied.recordTurn();
        if (gossipStep % STEPS_BETWEEN_CONTACT_CHECKS == 0) {
            contacts.check();
        }
        gossiper.sendRound();
    }

    private EndpointTable endpointTable() {
        return table;
    }

    private Control currentControl() {
        return control;
    }

    private GossipContext gossipContext() {
        return new GossipContext(
                self,
                peers,
                table,
                accounts,
                demands,
                poison,
                origins,
                usage,
                this::status,
                median,
                clockMillis,
                wallMillis);
    }

    private TrafficContext trafficContext() {
        return new TrafficContext(
                trafficLoop,
                clockMillis,
                this::medianMillis,
                settings.domain(),
                new Regions(settings.regions()),
                connections,
                table,
                contacts,
                new ProxyPeers(peers, connectionPool(ConnectionObserver.NONE), clockMillis),
                accounts,
                retryBudgets,
                usage,
                demands,
                poison,
                origins,
                () -> controlLoop.execute(() -> control.readEndpointsSoon()),
                metrics);
    }

    private ConnectionPool connectionPool(ConnectionObserver observer) {
        return new ConnectionPool(trafficLoop, CONNECT_TIMEOUT_MILLIS, clockMillis, observer, responses);
    }

    private Control control() {
        ConnectionPool connections =
                new ConnectionPool(controlLoop, CONNECT_TIMEOUT_MILLIS, clockMillis).resetOnClose();
        return new Control(
                controlLoop,
                new BufferingHttpCaller(controlLoop, connections),
                settings,
                self,
                storeUpdates,
                metrics,
                clockMillis,
                wallMillis,
                this::medianMillis);
    }

    private long medianMillis() {
        return wallMillis.getAsLong() + median.correctionMillis();
    }

    private SmallServer listen(String address, Function<QueryStringDecoder, SmallAnswer> handler) {
        return closer.add(new SmallServer(trafficLoop, ConnectionPool.socketAddress(address), handler));
    }

    private void onGossip(Gossip gossip) {
        gossiper.receive(gossip);
        gateway.onGossip();
    }

    private EventLoop newEventLoop() {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        closer.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        return group.next();
    }

    /**
     * Starts to follow the store and to gossip with other daemons.
     */
    public void start() {
        FaultBarrier.schedule(trafficLoop, "gossip", GossipRound.STEP_MILLIS, this::stepTraffic);
        FaultBarrier.schedule(
                trafficLoop, "count usage", USAGE_MILLIS, () -> recordUsage(usage.drainEnded(medianMillis())));
        TrafficReports reports = new TrafficReports(
                controlLoop, control, gossipContext(), gossiper, metrics, this::isCutOffAlone, this::isStoreReader);
        FaultBarrier.schedule(trafficLoop, "report traffic", SAMPLE_MILLIS, reports::publish);
        controlLoop.execute(control::start);
        Event started = Event.of("started").with("born", self.startMillis());
        settings.summary().forEach(started::with);
        started.info(LOGGER);
    }

    /**
     * Returns the address that callers connect to.
     */
    public InetSocketAddress frontAddress() {
        return front.address();
    }

    /**
     * Returns the address of the platform's readiness checks.
     */
    public InetSocketAddress readyAddress() {
        return ready.address();
    }

    /**
     * Returns the address of callers' look-ups.
     */
    public InetSocketAddress directoryAddress() {
        return directory.address();
    }

    /**
     * Stops gracefully: leaves the directory, completes requests in progress, releases the duties and writes all usage
     * counts. Blocks for most of the grace period; later calls return at once.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void drain() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        new GracefulStop(
                        bounds.graceMillis(),
                        clockMillis,
                        trafficLoop,
                        List.of(front, proxied),
                        gateway::drain,
                        () -> recordUsage(usage.drainAll()))
                .run(() -> controlLoop.execute(() -> control.leave(() -> {})));
    }

    @Override
    public void close() {
        closer.close();
    }

    /**
     * Applies the bounds of new settings. Addresses can't change in a running process.
     */
    public void reload(InstanceSettings settings) {
        trafficLoop.execute(() -> {
            bounds = settings.bounds();
            retryBudgets.configure(settings.bounds());
        });
        controlLoop.execute(() -> control.reload(settings.bounds()));
    }

    /**
     * Checks the settings periodically on the control thread.
     *
     * @param millis pause between checks, in milliseconds
     */
    public void checkSettingsEvery(long millis, Runnable action) {
        FaultBarrier.schedule(controlLoop, "check settings", millis, action);
    }

    private boolean isReady() {
        return !stopping.get()
                && storeUpdates.endpointsKnown()
                && peers.fleetSize(clockMillis.getAsLong()).isPresent()
                && gateway.deployment().isPresent();
    }

    private void recordUsage(SortedMap<Long, Map<AccountId, Long>> counts) {
        if (!counts.isEmpty()) {
            controlLoop.execute(() -> control.recordUsage(counts));
        }
    }

    private void recordPoison(CrashCause cause, Collection<EndpointCrash> crashes) {
        byte[] record = EndpointCrashCodec.encodeRecord(crashes, clockMillis.getAsLong(), medianMillis());
        controlLoop.execute(() -> control.recordPoison(cause, record));
    }

    private boolean isStoreReader() {
        return peers.isStoreReader(clockMillis.getAsLong() - createdMillis, clockMillis.getAsLong());
    }

    private boolean isCutOffAlone() {
        return status().isCutOff(table.pools()) && peers.anyInContact(table.pools(), clockMillis.getAsLong());
    }
}
