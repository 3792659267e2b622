package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DeploymentCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.logging.Event;

/**
 * Follows the operators' topic: the configuration, of which only the highest version counts, and the evacuations of
 * failure domains. A version that another daemon has applied is read from the store as well. Confined to the control
 * thread.
 */
final class DeploymentFollower implements TopicListener {

    private static final Logger LOGGER = System.getLogger(DeploymentFollower.class.getName());

    /**
     * Long-poll timeout of a daemon that reads the store closely, in milliseconds. Together with the response timeout,
     * it detects a silent connection within three seconds.
     */
    private static final long CLOSE_WAIT_MILLIS = 1_200;

    /**
     * The part of the time after which an instance counts as connected again that a waiting read leaves free, in
     * milliseconds: the response timeout, and a new read.
     */
    private static final long READ_MARGIN_MILLIS = 1_800;

    /** Longest long-poll timeout, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** Time that a version which others have applied takes to come by the waiting read, in milliseconds. */
    private static final long ANNOUNCED_WAIT_MILLIS = 250;

    /** Readings for a version that others have applied; the usual ones go on after them. */
    private static final int MAX_ANNOUNCED_READS = 8;

    private final EventLoop loop;
    private final LongSupplier contactMillis;
    private final StoreClient store;
    private final ControlListener listener;
    private final TopicFollower follower;
    private final FaultBarrier barrier = new FaultBarrier("apply configuration");
    private Evacuations evacuations = Evacuations.NONE;
    private boolean closely = true;
    private Deployment deployment;

    /**
     * Creates a follower that reads on {@link #start()}.
     *
     * @param contactMillis how long after a fault an instance counts as connected again, in milliseconds
     * @param clockMillis   the monotonic clock
     * @param listener      receives each newer version, and the evacuations after each change
     */
    DeploymentFollower(
            EventLoop loop,
            StoreClient store,
            LongSupplier contactMillis,
            LongSupplier clockMillis,
            ControlListener listener) {
        this.loop = loop;
        this.contactMillis = contactMillis;
        this.store = store;
        this.listener = listener;
        this.follower = new TopicFollower(
                loop,
                store,
                StoreCodec.OPERATORS_TOPIC,
                () -> 0,
                () -> closely ? CLOSE_WAIT_MILLIS : waitMillis(),
                clockMillis,
                this);
    }

    private long waitMillis() {
        return Math.min(MAX_WAIT_MILLIS, Math.max(CLOSE_WAIT_MILLIS, contactMillis.getAsLong() - READ_MARGIN_MILLIS));
    }

    void start() {
        follower.start();
    }

    /**
     * Returns the version in force; empty before the first.
     */
    Optional<Deployment> current() {
        return Optional.ofNullable(deployment);
    }

    /**
     * Sets whether this daemon reads the store closely on behalf of all; the others detect a silent connection later,
     * and are told of what they miss.
     */
    void readClosely(boolean nowClosely) {
        if (nowClosely && !closely) {
            follower.readAgain();
        }
        closely = nowClosely;
    }

    /**
     * Reads anew unless a version that another daemon has applied comes by the reading under way.
     */
    void announced(long version) {
        scheduleRead(version, MAX_ANNOUNCED_READS);
    }

    private void scheduleRead(long version, int readsLeft) {
        loop.schedule(() -> readAnnounced(version, readsLeft), ANNOUNCED_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void readAnnounced(long version, int readsLeft) {
        if (readsLeft > 0 && (deployment == null || deployment.version() < version)) {
            follower.readAgain();
            scheduleRead(version, readsLeft - 1);
        }
    }

    /**
     * Returns the evacuated failure domains.
     */
    Set<FailureDomain> evacuated() {
        return evacuations.domains();
    }

    /**
     * Adds the evacuations that other daemons have reported.
     */
    void learn(Evacuations reported) {
        update(evacuations.merge(reported));
    }

    /** Applies evacuations before the configuration, so that a daemon that is ready to serve knows them. */
    @Override
    public void onLoaded(List<KeyedRecord> records, long endOffset) {
        barrier.run(
                "evacuations up to offset " + endOffset,
                () -> update(evacuations.load(
                        position(endOffset),
                        evacuationOrders(records)
                                .filter(EvacuationOrder::active)
                                .toList())));
        applyConfiguration(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        evacuationOrders(records)
                .forEach(order -> barrier.run("evacuation " + order, () -> update(evacuations.with(order))));
        applyConfiguration(records);
    }

    private Stream<EvacuationOrder> evacuationOrders(List<KeyedRecord> records) {
        return records.stream()
                .filter(entry -> entry.key().startsWith(StoreCodec.EVACUATION_KEY_PREFIX))
                .map(entry -> new EvacuationOrder(
                        new FailureDomain(entry.key().substring(StoreCodec.EVACUATION_KEY_PREFIX.length())),
                        position(entry.offset()),
                        entry.value().length > 0));
    }

    private StorePosition position(long offset) {
        return new StorePosition(store.era().orElse(0), offset);
    }

    private void update(Evacuations next) {
        if (!next.equals(evacuations)) {
            evacuations = next;
            listener.onEvacuations(next);
        }
    }

    private void applyConfiguration(List<KeyedRecord> records) {
        records.stream()
                .filter(entry -> StoreCodec.CONFIGURATION_KEY.equals(entry.key()) && entry.value().length > 0)
                .forEach(entry -> barrier.run(entry.key(), () -> apply(entry)));
    }

    @Override
    public void onRead(TopicReading reading) {
        // Only versions count, whenever they were read.
    }

    private void apply(KeyedRecord entry) {
        try {
            Deployment next = DeploymentCodec.decode(entry.value());
            if (deployment == null || next.version() > deployment.version()) {
                deployment = next;
                Event.of("deployment")
                        .with("version", next.version())
                        .with("offset", entry.offset())
                        .info(LOGGER);
                listener.onDeployment(next);
            }
        } catch (CodecException exception) {
            Event.of("deployment-unreadable")
                    .with("offset", entry.offset())
                    .with("in-force", current().map(Deployment::version).orElse(0L))
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
