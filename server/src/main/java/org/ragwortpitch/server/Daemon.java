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
import org.ragwortpitch.dispatch.HttpEngines;
import org.ragwortpitch.dispatch.LoadPoller;
import org.ragwortpitch.dispatch.ReclaimWatch;
import org.ragwortpitch.dispatch.RunParts;
import org.ragwortpitch.dispatch.SharedRetryBudget;
import org.ragwortpitch.dispatch.SuspectRegistry;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.gateway.CallerHandler;
import org.ragwortpitch.gateway.GatewayParts;
import org.ragwortpitch.http.HttpServing;
import org.ragwortpitch.http.JsonClient;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.operations.OperatorHandler;
import org.ragwortpitch.operations.StatusBuilder;
import org.ragwortpitch.peering.DurableUsageSink;
import org.ragwortpitch.peering.PeerClient;
import org.ragwortpitch.peering.PeerRequestHandler;
import org.ragwortpitch.platform.HttpPlatform;
import org.ragwortpitch.routing.ForEstimatedFinish;
import org.ragwortpitch.settings.InvalidSettingException;
import org.ragwortpitch.wire.PeerService;
import org.ragwortpitch.wire.PeerTransport;
import org.ragwortpitch.wire.SharedSecret;

/**
 * A running daemon.
 */
public final class Daemon implements AutoCloseable {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());

    /**
     * How many homes each account has.
     */
    private static final int HOME_COUNT = 1;

    /**
     * What reaching another failure domain costs, in microseconds.
     */
    private static final long CROSSING_MICROS = 1_500;

    /**
     * After what time a load report counts half, in milliseconds.
     */
    private static final long REPORT_HALF_MILLIS = 1_000;

    /**
     * What a success earns, in thousandths of a retry.
     */
    private static final long RETRY_EARNED_PERMILLE = 100;

    /**
     * The most retries that can be saved.
     */
    private static final int MAX_SAVED_RETRIES = 50;

    /**
     * How often engines are asked for their load, in milliseconds.
     */
    private static final long POLL_MILLIS = 1_000;

    /**
     * How often other daemons are asked how far they are, in milliseconds.
     */
    private static final long PRESENCE_MILLIS = 1_000;

    /**
     * How often queues are looked through, in milliseconds.
     */
    private static final long QUEUE_TICK_MILLIS = 50;

    /**
     * How long usage waits for the log before other daemons are asked to hold it, in milliseconds.
     */
    private static final long LOG_WAIT_MILLIS = 300;

    /**
     * How long a connection may stay silent, in milliseconds.
     */
    private static final long IDLE_MILLIS = 180_000;

    /**
     * How long the head of an answer may take, in milliseconds.
     */
    private static final long ANSWER_MILLIS = 3_700_000;

    /**
     * The settings.
     */
    private final DaemonSettings settings;

    /**
     * Closes what was opened.
     */
    private final Closer closer = new Closer();

    /**
     * The clocks.
     */
    private final Clocks clocks = Clocks.SYSTEM;

    /**
     * The metrics.
     */
    private final ServerMetrics metrics = new ServerMetrics();

    /**
     * The calls under way.
     */
    private final ActiveCalls active = new ActiveCalls();

    /**
     * Control state as last published.
     */
    private final AtomicReference<Snapshot> latest = new AtomicReference<>(Snapshot.EMPTY);

    /**
     * Sends messages to the control thread.
     */
    private final Mailbox mailbox = new Mailbox();

    /**
     * The actor system.
     */
    private final ActorSystem system;

    /**
     * The platform.
     */
    private final HttpPlatform platform;

    /**
     * Does what is due from time to time.
     */
    private final ScheduledExecutorService timer;

    /**
     * Carries calls to and from other daemons.
     */
    private final PeerTransport transport;

    /**
     * Asks other daemons.
     */
    private final PeerClient network;

    /**
     * Admits requests.
     */
    private final AdmissionControl admission;

    /**
     * Knows the requests that crash endpoints.
     */
    private final SuspectRegistry suspects;

    /**
     * Gives requests endpoints.
     */
    private final Dispatcher dispatcher;

    /**
     * The binding for callers.
     */
    private final ServerBinding callers;

    /**
     * The binding for operators.
     */
    private final ServerBinding operators;

    /**
     * Starts a daemon.
     *
     * @param settings the settings, checked
     * @throws InvalidSettingException if a setting cannot be used after all
     */
    public Daemon(DaemonSettings settings) throws InvalidSettingException {
        this.settings = settings;
        NetworkSettings place = settings.network();
        this.system = ActorSystem.create("ragwortpitch", ConfigFactory.load("ragwortpitch"));
        closer.add(() -> {
            system.terminate();
            system.getWhenTerminated().toCompletableFuture().join();
        });
        this.platform = new HttpPlatform(
                new JsonClient(system, 2 * place.platformTimeoutMillis()),
                place.platformUri(),
                place.platformTimeoutMillis());
        this.timer = Executors.newSingleThreadScheduledExecutor();
        closer.add(timer::shutdownNow);
        AtomicReference<PeerService> answers = new AtomicReference<>();
        this.transport = closer.add(new PeerTransport(
                new SharedSecret(place.peerSecret()), place.listenHost(), place.peerPort(), call -> answers.get()
                        .answer(call)));
        this.network = new PeerClient(transport, latest::get, mailbox, clocks, settings.failureDomain());
        this.admission = new AdmissionControl(HOME_COUNT, clocks, network);
        this.suspects = new SuspectRegistry(clocks, network::broadcastPoisonRequest);
        answers.set(new PeerRequestHandler(admission, suspects, mailbox));
        this.dispatcher = new Dispatcher(
                clocks,
                settings.queueBounds(),
                new ForEstimatedFinish(settings.failureDomain(), CROSSING_MICROS, REPORT_HALF_MILLIS));
        HttpEngines engines = new HttpEngines(system);
        this.callers = bind(place.callerPort(), new CallerHandler(gatewayParts(engines), latest::get, mailbox));
        this.operators = bind(place.operatorPort(), operatorHandler());
        mailbox.attach(startControl(engines));
        startTasks(new LoadPoller(clocks, engines, dispatcher, mailbox), new ReclaimWatch(platform, dispatcher));
        Event.of("daemon-ready")
                .with("instance", settings.instance())
                .with("callers", callerAddress())
                .with("operators", operatorAddress())
                .with("peers", place.listenHost() + ":" + transport.port())
                .info(LOGGER);
    }

    /**
     * Gathers the parts that the gateway uses.
     *
     * @param engines supplies clients of engines
     * @return the parts
     */
    private GatewayParts gatewayParts(HttpEngines engines) {
        SharedRetryBudget budget = new SharedRetryBudget(RETRY_EARNED_PERMILLE, MAX_SAVED_RETRIES);
        return new GatewayParts(
                system,
                settings.gateway(),
                clocks,
                admission,
                new RunParts(dispatcher, engines, budget, suspects, metrics, clocks),
                new DurableUsageSink(
                        mailbox, network, LOG_WAIT_MILLIS, settings.gateway().usageHoldMillis()),
                active,
                metrics);
    }

    /**
     * Makes what answers operators.
     *
     * @return the handler
     */
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

    /**
     * Starts the control thread.
     *
     * @param engines supplies clients of engines
     * @return the control thread
     * @throws InvalidSettingException if a setting cannot be used after all
     */
    private ActorRef<ControlMessage> startControl(HttpEngines engines) throws InvalidSettingException {
        NetworkSettings place = settings.network();
        SnapshotPublisher follower = new SnapshotPublisher(latest, admission, dispatcher, active, metrics);
        String peerAddress = place.listenHost() + ":" + transport.port();
        return Adapter.spawn(
                system,
                ControlActor.create(
                        settings.control(callerAddress(), peerAddress),
                        clocks,
                        platform,
                        platform,
                        engines::of,
                        follower),
                "control",
                DispatcherSelector.fromConfig("ragwortpitch.control-dispatcher"));
    }

    /**
     * Starts what is done from time to time.
     *
     * @param poller  asks engines for their load
     * @param reclaim watches for endpoints that the platform takes back
     */
    private void startTasks(LoadPoller poller, ReclaimWatch reclaim) {
        every(POLL_MILLIS, reclaim::poll);
        every(POLL_MILLIS, () -> poller.poll(latest.get().configuration()));
        every(PRESENCE_MILLIS, network::pollPeers);
        every(QUEUE_TICK_MILLIS, dispatcher::tick);
        every(PRESENCE_MILLIS, this::measure);
    }

    /**
     * Sets the metrics that change with time alone.
     */
    private void measure() {
        Snapshot snapshot = latest.get();
        long nowMillis = clocks.nowMillis();
        boolean never = snapshot.contactMillis() == Long.MIN_VALUE;
        metrics.control("peer_sent_bytes", transport.sentBytes());
        metrics.control("lease_remaining_ms", Math.max(0, snapshot.leaseEndMillis() - nowMillis));
        metrics.control("contact_age_ms", never ? -1 : nowMillis - snapshot.contactMillis());
    }

    /**
     * Serves a port.
     *
     * @param port    the port, or 0 for any
     * @param handler what answers
     * @return the binding
     */
    private ServerBinding bind(int port, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return HttpServing.bind(system, settings.network().listenHost(), port, IDLE_MILLIS, ANSWER_MILLIS, handler)
                .toCompletableFuture()
                .join();
    }

    /**
     * Does something from time to time.
     *
     * @param periodMillis how often, in milliseconds
     * @param task         what to do
     */
    private void every(long periodMillis, Runnable task) {
        Runnable guarded = () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                Event.of("task-failed").with("reason", exception).warn(LOGGER);
            }
        };
        timer.scheduleWithFixedDelay(guarded, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts down gracefully.
     */
    public void drain() {
        new Drain(settings, clocks, active, mailbox, callers).run();
    }

    /**
     * Tells where callers reach this daemon.
     *
     * @return the address, as host and port
     */
    public String callerAddress() {
        return settings.network().listenHost() + ":" + callers.localAddress().getPort();
    }

    /**
     * Tells where operators reach this daemon.
     *
     * @return the address, as host and port
     */
    public String operatorAddress() {
        return settings.network().listenHost() + ":" + operators.localAddress().getPort();
    }

    /**
     * Tells what is known of control state.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        return latest.get();
    }

    @Override
    public void close() {
        closer.close();
    }
}
