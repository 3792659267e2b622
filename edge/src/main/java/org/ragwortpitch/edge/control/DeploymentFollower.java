package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DeploymentCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.logging.Event;

/**
 * Follows the operators' configuration, of which only the highest version counts. A version that another daemon has
 * applied is read from the store as well. Confined to the control thread.
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
    private final long waitMillis;
    private final Consumer<Deployment> onDeployment;
    private final TopicFollower follower;
    private final FaultBarrier barrier = new FaultBarrier("apply configuration");
    private boolean closely = true;
    private Deployment deployment;

    /**
     * Creates a follower that reads on {@link #start()}.
     *
     * @param contactMillis how long after a fault an instance counts as connected again, in milliseconds
     * @param clockMillis   the monotonic clock
     * @param onDeployment  called with each newer version
     */
    DeploymentFollower(
            EventLoop loop,
            StoreClient store,
            long contactMillis,
            LongSupplier clockMillis,
            Consumer<Deployment> onDeployment) {
        this.loop = loop;
        this.waitMillis = Math.min(MAX_WAIT_MILLIS, Math.max(CLOSE_WAIT_MILLIS, contactMillis - READ_MARGIN_MILLIS));
        this.onDeployment = onDeployment;
        this.follower = new TopicFollower(
                loop,
                store,
                StoreCodec.OPERATORS_TOPIC,
                0,
                () -> closely ? CLOSE_WAIT_MILLIS : waitMillis,
                clockMillis,
                this);
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

    @Override
    public void onLoaded(List<KeyedRecord> records) {
        onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
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
                onDeployment.accept(next);
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
