package org.ragwortpitch.server;

import com.typesafe.config.ConfigFactory;
import java.lang.System.Logger;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlActor;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.dispatch.Dispatcher;
import org.ragwortpitch.dispatch.HttpEngineClients;
import org.ragwortpitch.dispatch.LoadPoller;
import org.ragwortpitch.dispatch.ModelRunContext;
import org.ragwortpitch.dispatch.PoisonRequestRegistry;
import org.ragwortpitch.dispatch.SharedRetryBudget;
import org.ragwortpitch.dispatch.SpotReclaimPoller;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.gateway.CallerHandler;
import org.ragwortpitch.gateway.GatewayParts;
import org.ragwortpitch.http.HttpServers;
import org.ragwortpitch.http.JsonClient;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.operations.OperatorHandler;
import org.ragwortpitch.operations.StatusBuilder;
import org.ragwortpitch.peering.DurableUsageSink;
import org.ragwortpitch.peering.PeerClient;
import org.ragwortpitch.peering.PeerRequestHandler;
import org.ragwortpitch.platform.HttpPlatform;
import org.ragwortpitch.routing.EstimatedFinishChooser;
import org.ragwortpitch.settings.InvalidSettingException;
import org.ragwortpitch.wire.PeerService;
import org.ragwortpitch.wire.PeerTransport;
import org.ragwortpitch.wire.SharedSecret;

/**
 * A running daemon. The constructor starts it; {@link #drain} and then {@link #close} stop it.
 */
public final class Daemon implements AutoCloseable {

    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());

    /**
     * Number of owners of an account's quota.
     */
    private static final int OWNERS_PER_ACCOUNT = 1;

    /**
     * Estimated cost of sending a request to another failure domain, in microseconds.
     */
    private static final long CROSS_DOMAIN_COST_MICROS = 1_500;

    /**
     * Half-life of the weight of a load report, in milliseconds.
     */
    private static final long LOAD_REPORT_HALF_LIFE_MILLIS = 1_000;

    /**
     * Retry budget that a successful request adds, in thousandths of a retry.
     */
    private static final long RETRY_CREDIT_PERMILLE = 100;

    private static final int MAX_SAVED_RETRIES = 50;

    /**
     * Interval at which engines are polled for their load, and the platform for endpoints that it reclaims, in
     * milliseconds.
     */
    private static final long POLL_INTERVAL_MILLIS = 1_000;

    /**
     * Interval at which other daemons are queried for their applied offset, in milliseconds.
     */
    private static final long PRESENCE_INTERVAL_MILLIS = 1_000;

    private static final long QUEUE_TICK_INTERVAL_MILLIS = 50;

    /**
     * Time that a usage entry waits for the log before it is also replicated to other daemons, in milliseconds.
     */
    private static final long LOG_WAIT_MILLIS = 300;

    /**
     * Time without traffic after which an HTTP connection is closed, in milliseconds.
     */
    private static final long IDLE_TIMEOUT_MILLIS = 180_000;

    /**
     * Timeout for the head of an HTTP response, in milliseconds.
     */
    private static final long RESPONSE_HEAD_TIMEOUT_MILLIS = 3_700_000;

    private final DaemonSettings settings;

    private final Closer closer = new Closer();

    private final Clocks clocks = Clocks.SYSTEM;

    private final ServerMetrics metrics = new ServerMetrics();

    private final ActiveCalls active = new ActiveCalls();

    /**
     * The latest snapshot of control state that has been applied.
     */
    private final AtomicReference<Snapshot> latest = new AtomicReference<>(Snapshot.EMPTY);

    private final Mailbox mailbox = new Mailbox();

    private final ActorSystem system;

    private final HttpPlatform platform;

    /**
     * Runs periodic tasks on one thread.
     */
    private final ScheduledExecutorService timer;

    private final PeerTransport transport;

    private final PeerClient peers;

    private final AdmissionControl admission;

    private final PoisonRequestRegistry poisonRequests;

    private final Dispatcher dispatcher;

    private final ServerBinding callers;

    private final ServerBinding operators;

    /**
     * Starts a daemon. Returns once it listens on all ports; it may not yet be a member.
     *
     * @param settings the validated settings
     * @throws InvalidSettingException if the lease settings contradict each other
     */
    public Daemon(DaemonSettings settings) throws InvalidSettingException {
        this.settings = settings;
        NetworkSettings network = settings.network();
        this.system = ActorSystem.create("ragwortpitch", ConfigFactory.load("ragwortpitch"));
        closer.add(() -> {
            system.terminate();
            system.getWhenTerminated().toCompletableFuture().join();
        });
        this.platform = new HttpPlatform(
                new JsonClient(system, 2 * network.platformTimeoutMillis()),
                network.platformUri(),
                network.platformTimeoutMillis());
        this.timer = Executors.newSingleThreadScheduledExecutor();
        closer.add(timer::shutdownNow);
        AtomicReference<PeerService> peerService = new AtomicReference<>();
        this.transport = closer.add(new PeerTransport(
                new SharedSecret(network.peerSecret()), network.listenHost(), network.peerPort(), call -> peerService
                        .get()
                        .handle(call)));
        this.peers = new PeerClient(transport, latest::get, mailbox, clocks, settings.failureDomain());
        this.admission = new AdmissionControl(OWNERS_PER_ACCOUNT, clocks, peers);
        this.poisonRequests = new PoisonRequestRegistry(clocks, peers::broadcastPoisonRequest);
        peerService.set(new PeerRequestHandler(admission, poisonRequests, mailbox));
        this.dispatcher = new Dispatcher(
                clocks,
                settings.queueBounds(),
                new EstimatedFinishChooser(
                        settings.failureDomain(), CROSS_DOMAIN_COST_MICROS, LOAD_REPORT_HALF_LIFE_MILLIS));
        HttpEngineClients engines = new HttpEngineClients(system);
        this.callers = bind(network.callerPort(), new CallerHandler(gatewayParts(engines), latest::get, mailbox));
        this.operators = bind(network.operatorPort(), operatorHandler());
        mailbox.attach(startControl(engines));
        startTasks(new LoadPoller(clocks, engines, dispatcher, mailbox), new SpotReclaimPoller(platform, dispatcher));
        Event.of("daemon-ready")
                .with("instance", settings.instance())
                .with("callers", callerAddress())
                .with("operators", operatorAddress())
                .with("peers", network.listenHost() + ":" + transport.port())
                .info(LOGGER);
    }

    private GatewayParts gatewayParts(HttpEngineClients engines) {
        SharedRetryBudget budget = new SharedRetryBudget(RETRY_CREDIT_PERMILLE, MAX_SAVED_RETRIES);
        return new GatewayParts(
                system,
                settings.gateway(),
                clocks,
                admission,
                new ModelRunContext(dispatcher, engines, budget, poisonRequests, metrics, clocks),
                new DurableUsageSink(
                        mailbox, peers, LOG_WAIT_MILLIS, settings.gateway().usageHoldMillis()),
                active,
                metrics);
    }

    private OperatorHandler operatorHandler() {
        return new OperatorHandler(
                system,
                settings.network().operatorToken(),
                latest::get,
                mailbox,
                new StatusBuilder(settings.instance(), admission, dispatcher),
                metrics,
                clocks);
    }

    private ActorRef<ControlMessage> startControl(HttpEngineClients engines) throws InvalidSettingException {
        NetworkSettings network = settings.network();
        SnapshotPublisher publisher = new SnapshotPublisher(latest, admission, dispatcher, active, metrics);
        String peerAddress = network.listenHost() + ":" + transport.port();
        return Adapter.spawn(
                system,
                ControlActor.create(
                        settings.control(callerAddress(), peerAddress),
                        clocks,
                        platform,
                        platform,
                        engines::of,
                        publisher),
                "control",
                DispatcherSelector.fromConfig("ragwortpitch.control-dispatcher"));
    }

    /**
     * Schedules the periodic tasks.
     *
     * @param poller        polls engines for their load
     * @param reclaimPoller polls the platform for endpoints that it reclaims
     */
    private void startTasks(LoadPoller poller, SpotReclaimPoller reclaimPoller) {
        schedule(POLL_INTERVAL_MILLIS, reclaimPoller::poll);
        schedule(POLL_INTERVAL_MILLIS, () -> poller.poll(latest.get().configuration()));
        schedule(PRESENCE_INTERVAL_MILLIS, peers::pollPeers);
        schedule(QUEUE_TICK_INTERVAL_MILLIS, dispatcher::tick);
        schedule(PRESENCE_INTERVAL_MILLIS, this::updateMetrics);
    }

    /**
     * Updates the metrics that change with time even when no snapshot is published.
     */
    private void updateMetrics() {
        Snapshot snapshot = latest.get();
        long nowMillis = clocks.nowMillis();
        boolean never = snapshot.contactMillis() == Long.MIN_VALUE;
        metrics.control("peer_sent_bytes", transport.sentBytes());
        metrics.control("lease_remaining_ms", Math.max(0, snapshot.leaseEndMillis() - nowMillis));
        metrics.control("contact_age_ms", never ? -1 : nowMillis - snapshot.contactMillis());
    }

    /**
     * Serves HTTP on a port.
     *
     * @param port the port, or 0 for any free one
     */
    private ServerBinding bind(int port, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return HttpServers.bind(
                        system,
                        settings.network().listenHost(),
                        port,
                        IDLE_TIMEOUT_MILLIS,
                        RESPONSE_HEAD_TIMEOUT_MILLIS,
                        handler)
                .toCompletableFuture()
                .join();
    }

    /**
     * Schedules a task with a fixed delay. A task that throws is logged and runs again.
     *
     * @param periodMillis the delay, in milliseconds
     */
    private void schedule(long periodMillis, Runnable task) {
        Runnable loggingTask = () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                Event.of("task-failed").with("reason", exception).warn(LOGGER);
            }
        };
        timer.scheduleWithFixedDelay(loggingTask, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts down gracefully: announces the departure, waits for calls in progress to finish and leaves the membership.
     * Blocks until then; the wait for calls is limited by the drain timeout.
     */
    public void drain() {
        new Drain(settings, clocks, active, mailbox, callers).run();
    }

    /**
     * Returns the address that the daemon listens on for callers.
     *
     * @return the address, as host and port
     */
    public String callerAddress() {
        return settings.network().listenHost() + ":" + callers.localAddress().getPort();
    }

    /**
     * Returns the address that the daemon listens on for operators.
     *
     * @return the address, as host and port
     */
    public String operatorAddress() {
        return settings.network().listenHost() + ":" + operators.localAddress().getPort();
    }

    /**
     * Returns the latest snapshot of control state that has been applied.
     *
     * @return the snapshot; {@link Snapshot#EMPTY} before the first
     */
    public Snapshot snapshot() {
        return latest.get();
    }

    @Override
    public void close() {
        closer.close();
    }
}
