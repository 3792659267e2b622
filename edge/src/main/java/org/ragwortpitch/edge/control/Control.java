package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.DaemonCodec;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Follows the platform's store on behalf of the daemon, registers the daemon there, and carries out duties while this
 * daemon holds their lease. Confined to the control thread.
 */
public final class Control {

    /** Long-poll timeout for the daemons' topic, in milliseconds; long, because each call is billed. */
    private static final long DAEMONS_WAIT_MILLIS = 10_000;

    /**
     * The part of the time allowed for acting on an endpoint's entry that the pause between reads leaves free, in
     * milliseconds: a response takes 4 ms, and a lost call is retried after 250 ms. Usually gossip from another daemon
     * announces a change earlier.
     */
    private static final long ENDPOINTS_READ_MARGIN_MILLIS = 700;

    /** Pause between reads of the daemons' topic, in milliseconds; batches the entries of a starting fleet. */
    private static final long DAEMONS_PAUSE_MILLIS = 500;

    /** Long-poll timeout for causes of crashes, in milliseconds: the longest one, as gossip tells of them first. */
    private static final long POISON_WAIT_MILLIS = 30_000;

    /** Interval between checks for missing entries, in milliseconds: a tenth of the second left to act on one. */
    private static final long MISSING_CHECK_MILLIS = 100;

    /** Interval between attempts to make departed members leave the duties' group, in milliseconds. */
    private static final long DEPARTURES_MILLIS = 250;

    private final EventLoop loop;
    private final InstanceSettings settings;
    private final Daemon self;
    private final ControlListener listener;
    private final StoreClient store;
    private final LongSupplier clockMillis;
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final FaultBarrier barrier = new FaultBarrier("apply record");
    private final DaemonRegistry daemons;
    private final UsageWriter usage;
    private final PoisonRecorder poison;
    private final DutyRunner duties;
    private final MemberDepartures departures;
    private final DeploymentFollower deployments;
    private Map<PoolId, PoolDemand> poolDemands = Map.of();
    private Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> peerCounts = Map.of();
    private Set<EndpointIncarnation> saidToLeave = Set.of();
    private Set<EndpointId> resting = Set.of();
    private TopicFollower endpointsFollower;
    private InstanceSettings.Bounds bounds;

    /**
     * Creates a client of the store that is idle until {@link #start()}.
     *
     * @param clockMillis  the monotonic clock
     * @param wallMillis   this instance's wall clock
     * @param medianMillis the wall clock corrected to the median of the daemons' clocks
     */
    public Control(
            EventLoop loop,
            BufferingHttpCaller caller,
            InstanceSettings settings,
            Daemon self,
            ControlListener listener,
            EdgeMetrics metrics,
            LongSupplier clockMillis,
            LongSupplier wallMillis,
            LongSupplier medianMillis) {
        this.loop = loop;
        this.settings = settings;
        this.bounds = settings.bounds();
        this.self = self;
        this.listener = listener;
        this.clockMillis = clockMillis;
        this.store =
                new StoreClient(loop, caller, settings.storeAddress(), clockMillis, metrics, this::onStoreReachable);
        LongSupplier leaseMillis = new LeaseClock(clockMillis, wallMillis);
        this.deployments = new DeploymentFollower(loop, store, () -> bounds.contactMillis(), clockMillis, listener);
        this.daemons = new DaemonRegistry(
                loop, store, self, listener::onDaemons, ended -> learnDeparted(List.of(ended), "later-incarnation"));
        this.usage = new UsageWriter(loop, store, self);
        this.poison = new PoisonRecorder(loop, store);
        this.duties = new DutyRunner(
                loop,
                store,
                DaemonRegistry.memberName(self),
                leaseMillis,
                settings.bounds().leaseMillis(),
                settings.bounds().requireFencing(),
                duty(caller, clockMillis, medianMillis),
                () -> learnDeparted(List.of(DaemonRegistry.memberName(self)), "stop"),
                this::endedMillis);
        this.departures = new MemberDepartures(
                store, DutyRunner.GROUP, leaseMillis, listener::onDepartedMembers, duties::renewSoon);
    }

    private void onStoreReachable(boolean reachable) {
        listener.onStoreReachable(reachable);
        if (reachable) {
            departures.step();
        }
    }

    private OptionalLong endedMillis(String member) {
        return departures.endedMillis(member);
    }

    private void learnDeparted(Collection<String> members, String source) {
        departures.learn(members, source);
    }

    private Duty duty(BufferingHttpCaller caller, LongSupplier clockMillis, LongSupplier medianMillis) {
        if (settings.cloud().isEmpty()) {
            return tenure -> {};
        }
        PlatformClient platform = new PlatformClient(
                caller, settings.cloud().get(), settings.bounds().requireFencing(), () -> bounds.leaseMillis());
        UsageReporter reporter = new UsageReporter(
                store,
                platform,
                self.id(),
                settings.bounds().usageWindowMillis(),
                () -> bounds.usageLateMillis(),
                firstUsageWindow(medianMillis.getAsLong()));
        EngineDuty engines = new EngineDuty(
                new FleetScaler(platform, self.id(), clockMillis),
                new EngineRoleAssigner(caller, self.id(), clockMillis),
                listener::onRoleChanges);
        return tenure -> {
            reporter.updatePeerCounts(peerCounts);
            reporter.step(tenure, medianMillis.getAsLong(), daemons.incarnations());
            deployments.current().ifPresent(deployment -> deployment
                    .pools()
                    .forEach(pool -> stepEngines(tenure.fencingToken(), pool, engines)));
        };
    }

    private OptionalLong firstUsageWindow(long nowMillis) {
        return settings.firstStart()
                ? OptionalLong.of(Math.floorDiv(nowMillis, settings.bounds().usageWindowMillis()))
                : OptionalLong.empty();
    }

    private void stepEngines(long token, Pool pool, EngineDuty engines) {
        Collection<Endpoint> listed = endpoints.endpoints().stream()
                .map(engine -> saidToLeave.contains(engine.incarnation()) ? engine.asLeaving() : engine)
                .toList();
        PoolDemand demand = poolDemands.getOrDefault(pool.id(), new PoolDemand(0, 0));
        engines.step(token, pool, listed, resting, deployments.evacuated(), demand);
    }

    /**
     * Registers this daemon and starts following the store's topics.
     */
    public void start() {
        store.onRestored(this::writeAgain);
        // Before the list is read: gossip begins then, and a daemon that is heard before it is listed makes others
        // spend less of the accounts' rates.
        daemons.register();
        deployments.start();
        endpointsFollower = follow(
                StoreCodec.ENDPOINTS_TOPIC,
                this::endpointsPauseMillis,
                () -> 0,
                this::applyEndpoints,
                reading -> listener.onEndpointsRead(endpoints.reading(reading)));
        follow(DaemonCodec.TOPIC, () -> DAEMONS_PAUSE_MILLIS, () -> DAEMONS_WAIT_MILLIS, daemons::apply, reading -> {});
        follow(StoreCodec.POISON_TOPIC, () -> 0, () -> POISON_WAIT_MILLIS, this::applyPoison, reading -> {});
        FaultBarrier.schedule(loop, "drop missing endpoints", MISSING_CHECK_MILLIS, this::dropMissing);
        FaultBarrier.schedule(loop, "departed members", DEPARTURES_MILLIS, departures::step);
        duties.start();
    }

    /**
     * Applies the bounds of changed settings. Not applied are the length of usage windows and whether tokens are
     * checked, which all daemons have to agree on.
     */
    public void reload(InstanceSettings.Bounds changed) {
        bounds = changed;
        duties.configure(changed.leaseMillis());
        readEndpointsSoon();
    }

    private long endpointsPauseMillis() {
        return Math.max(ENDPOINTS_READ_MARGIN_MILLIS, bounds.drainMillis() - ENDPOINTS_READ_MARGIN_MILLIS);
    }

    /**
     * Queues this daemon's usage counts, by window, for the usage ledger.
     */
    public void recordUsage(SortedMap<Long, Map<AccountId, Long>> windows) {
        usage.add(windows);
    }

    /**
     * Records the crashes that a request or prefix block has caused, for daemons that start when no other is left.
     * Retries while the store is unreachable.
     *
     * @param crashes encoded, as the listener gets them
     */
    public void recordPoison(CrashCause cause, byte[] crashes) {
        poison.record(cause, crashes);
    }

    /**
     * Learns from another daemon of members of the duties' group that have stopped for good.
     */
    public void membersDeparted(Collection<String> members) {
        learnDeparted(
                members.stream()
                        .filter(member -> !member.equals(DaemonRegistry.memberName(self)))
                        .toList(),
                "gossip");
    }

    /** Writes again what this daemon has written, as the store may have lost it. */
    private void writeAgain() {
        endpoints.forgetOffsets();
        daemons.register();
        poison.recordAllAgain();
    }

    private void applyPoison(List<KeyedRecord> records, boolean snapshot) {
        records.stream()
                .filter(entry -> entry.value().length > 0)
                .forEach(entry -> barrier.run(entry.key(), () -> listener.onPoison(entry.value())));
    }

    /**
     * Replaces the usage counts received by gossip, by window and daemon incarnation.
     */
    public void updatePeerCounts(Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> counts) {
        peerCounts = counts;
    }

    /**
     * Replaces the endpoints that have said in responses that they leave, whatever their entries say.
     */
    public void updateSaidToLeave(Set<EndpointIncarnation> leaving) {
        saidToLeave = leaving;
    }

    /**
     * Replaces the endpoints that want nothing of this daemon now.
     */
    public void updateResting(Set<EndpointId> now) {
        resting = now;
    }

    /**
     * Replaces the measured demand on pools of engines.
     */
    public void updatePoolDemands(Map<PoolId, PoolDemand> now) {
        poolDemands = now;
    }

    /**
     * Reads the endpoints' topic ahead of schedule if it hasn't been read past an offset that another daemon announced.
     */
    public void endpointsChanged(long offset) {
        if (endpointsFollower != null) {
            endpointsFollower.expediteRead(offset);
        }
    }

    /**
     * Reads the endpoints' topic ahead of schedule, for a request that needs to know what is listed now.
     */
    public void readEndpointsSoon() {
        if (endpointsFollower != null) {
            endpointsFollower.readSoon();
        }
    }

    /**
     * Leaves the duties to other daemons while this one reaches no endpoint and another does.
     */
    public void suspendDuties(boolean suspended) {
        duties.suspend(suspended);
    }

    /**
     * Sets whether this daemon reads the store closely on behalf of all.
     */
    public void readStoreClosely(boolean closely) {
        deployments.readClosely(closely);
        departures.callStore(closely);
    }

    /** Adds the evacuations that other daemons have reported. */
    public void learnEvacuations(Evacuations reported) {
        deployments.learn(reported);
    }

    /** Has a version of the configuration read that another daemon has applied. */
    public void deploymentAnnounced(long version) {
        deployments.announced(version);
    }

    /**
     * Releases the duties and leaves their group.
     *
     * @param done called once the store has answered or the call has failed
     */
    public void leave(Runnable done) {
        duties.leave(done);
    }

    private TopicFollower follow(
            String topic,
            LongSupplier pauseMillis,
            LongSupplier waitMillis,
            RecordConsumer consumer,
            Consumer<TopicReading> afterRead) {
        TopicListener applying = new TopicListener() {
            @Override
            public void onLoaded(List<KeyedRecord> records, long endOffset) {
                consumer.accept(records, true);
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {
                consumer.accept(records, false);
            }

            @Override
            public void onRead(TopicReading reading) {
                afterRead.accept(reading);
            }
        };
        TopicFollower follower = new TopicFollower(loop, store, topic, pauseMillis, waitMillis, clockMillis, applying);
        follower.start();
        return follower;
    }

    private void applyEndpoints(List<KeyedRecord> records, boolean snapshot) {
        if (snapshot) {
            endpoints.replaceAll(records, store.reachableForMillis());
        } else {
            endpoints.update(records, store.reachableForMillis());
        }
        listener.onEndpoints(endpoints.endpoints(), endpoints.changedOffset());
    }

    private void dropMissing() {
        if (endpoints.dropMissing(store.reachableForMillis())) {
            listener.onEndpoints(endpoints.endpoints(), endpoints.changedOffset());
        }
    }

    /**
     * Applies records of a topic; a snapshot replaces all earlier ones.
     */
    @FunctionalInterface
    private interface RecordConsumer {

        void accept(List<KeyedRecord> records, boolean snapshot);
    }
}
