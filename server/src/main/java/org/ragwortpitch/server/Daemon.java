package org.ragwortpitch.server;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.lang.System.Logger;
import java.util.concurrent.CompletableFuture;
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
import org.ragwortpitch.admission.NoLenders;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlActor;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.RecordUsage;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.dispatch.Dispatcher;
import org.ragwortpitch.dispatch.HttpEngines;
import org.ragwortpitch.dispatch.LoadPoller;
import org.ragwortpitch.dispatch.RunParts;
import org.ragwortpitch.dispatch.SharedRetryBudget;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.gateway.CallerHandler;
import org.ragwortpitch.gateway.GatewayParts;
import org.ragwortpitch.http.HttpServing;
import org.ragwortpitch.http.JsonClient;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.operations.OperatorHandler;
import org.ragwortpitch.operations.StatusBuilder;
import org.ragwortpitch.platform.HttpPlatform;
import org.ragwortpitch.routing.ForEstimatedFinish;
import org.ragwortpitch.settings.InvalidSettingException;
import org.ragwortpitch.usage.UsageEntry;

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
    private static final long POLL_MILLIS = 500;

    /**
     * How often queues are looked through, in milliseconds.
     */
    private static final long QUEUE_TICK_MILLIS = 20;

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
     * The actor system.
     */
    private final ActorSystem system;

    /**
     * Does what is due from time to time.
     */
    private final ScheduledExecutorService timer;

    /**
     * Admits requests.
     */
    private final AdmissionControl admission;

    /**
     * Gives requests endpoints.
     */
    private final Dispatcher dispatcher;

    /**
     * Brings control state to the parts that act by it.
     */
    private final SnapshotFollower snapshot;

    /**
     * The control thread.
     */
    private final ActorRef<ControlMessage> control;

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
        Config config = ConfigFactory.load("ragwortpitch");
        this.system = ActorSystem.create("ragwortpitch", config);
        closer.add(() -> {
            system.terminate();
            system.getWhenTerminated().toCompletableFuture().join();
        });
        this.timer = Executors.newSingleThreadScheduledExecutor();
        closer.add(timer::shutdownNow);
        this.admission = new AdmissionControl(HOME_COUNT, clocks, NoLenders.INSTANCE);
        this.dispatcher = new Dispatcher(
                clocks,
                settings.queueBounds(),
                new ForEstimatedFinish(settings.failureDomain(), CROSSING_MICROS, REPORT_HALF_MILLIS));
        this.snapshot = new SnapshotFollower(clocks, admission, dispatcher, active, metrics);
        HttpEngines engines = new HttpEngines(system);
        AtomicReference<ActorRef<ControlMessage>> controlLater = new AtomicReference<>();
        this.callers = bind(
                settings.place().callerPort(),
                new CallerHandler(gatewayParts(engines, controlLater), snapshot, message -> controlLater
                        .get()
                        .tell(message)));
        this.operators = bind(
                settings.place().operatorPort(),
                new OperatorHandler(
                        system,
                        settings.place().operatorToken(),
                        snapshot,
                        message -> controlLater.get().tell(message),
                        new StatusBuilder(settings.instance(), admission, dispatcher),
                        metrics,
                        clocks));
        this.control = startControl();
        controlLater.set(control);
        LoadPoller poller = new LoadPoller(clocks, engines, dispatcher);
        every(POLL_MILLIS, () -> poller.poll(snapshot.get().configuration()));
        every(QUEUE_TICK_MILLIS, dispatcher::tick);
        Event.of("daemon-ready")
                .with("instance", settings.instance())
                .with("callers", callerAddress())
                .with("operators", operatorAddress())
                .info(LOGGER);
    }

    /**
     * Gathers the parts that the gateway uses.
     *
     * @param engines      supplies clients of engines
     * @param controlLater the control thread, set before any call comes
     * @return the parts
     */
    private GatewayParts gatewayParts(HttpEngines engines, AtomicReference<ActorRef<ControlMessage>> controlLater) {
        RunParts runs = new RunParts(
                dispatcher, engines, new SharedRetryBudget(RETRY_EARNED_PERMILLE, MAX_SAVED_RETRIES), metrics, clocks);
        return new GatewayParts(
                system,
                settings.gateway(),
                clocks,
                admission,
                runs,
                entry -> record(entry, controlLater.get()),
                active,
                metrics);
    }

    /**
     * Records usage; a finish is held back until it is durable, or for as long as the settings say.
     *
     * @param entry the usage
     * @param to    the control thread
     * @return done when the finish may be told
     */
    private CompletableFuture<Boolean> record(UsageEntry entry, ActorRef<ControlMessage> to) {
        CompletableFuture<Long> durable = new CompletableFuture<>();
        to.tell(new RecordUsage(entry, durable));
        return durable.thenApply(offset -> true)
                .completeOnTimeout(false, settings.gateway().usageHoldMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the control thread.
     *
     * @return the control thread
     * @throws InvalidSettingException if a setting cannot be used after all
     */
    private ActorRef<ControlMessage> startControl() throws InvalidSettingException {
        HttpPlatform platform = new HttpPlatform(
                new JsonClient(system),
                settings.place().platformUri(),
                settings.place().platformTimeoutMillis());
        String peerAddress =
                settings.place().listenHost() + ":" + settings.place().peerPort();
        return Adapter.spawn(
                system,
                ControlActor.create(
                        settings.control(callerAddress(), peerAddress), clocks, platform, platform, snapshot),
                "control",
                DispatcherSelector.fromConfig("ragwortpitch.control-dispatcher"));
    }

    /**
     * Serves a port.
     *
     * @param port    the port, or 0 for any
     * @param handler what answers
     * @return the binding
     */
    private ServerBinding bind(int port, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return HttpServing.bind(system, settings.place().listenHost(), port, IDLE_MILLIS, ANSWER_MILLIS, handler)
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
        timer.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException exception) {
                        Event.of("task-failed").with("reason", exception).warn(LOGGER);
                    }
                },
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts down gracefully.
     */
    public void drain() {
        new Drain(settings, clocks, active, control, callers).run();
    }

    /**
     * Tells where callers reach this daemon.
     *
     * @return the address, as host and port
     */
    public String callerAddress() {
        return settings.place().listenHost() + ":" + callers.localAddress().getPort();
    }

    /**
     * Tells where operators reach this daemon.
     *
     * @return the address, as host and port
     */
    public String operatorAddress() {
        return settings.place().listenHost() + ":" + operators.localAddress().getPort();
    }

    /**
     * Tells what is known of control state.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        return snapshot.get();
    }

    @Override
    public void close() {
        closer.close();
    }
}
