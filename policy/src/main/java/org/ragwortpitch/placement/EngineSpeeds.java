package org.ragwortpitch.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;

/**
 * Learns the speeds of engines from the times that requests took and from what other daemons report. Only requests that
 * hardly waited in a queue count. Confined to one thread.
 */
public final class EngineSpeeds {

    /** A request counts for speed if its wait is below this part of its expected time without the wait. */
    private static final double MAX_WAIT_SHARE = 0.2;

    /** Share of an engine's slots from which on requests may wait for one. */
    private static final double MAX_RUNNING_SHARE = 0.85;

    /** Bounds of a sample over the expected time, so that a request delayed by a crash doesn't distort the average. */
    private static final double MIN_SAMPLE_RATIO = 0.4;

    private static final double MAX_SAMPLE_RATIO = 3;

    /**
     * Share of an engine's time at the nominal speed below which a sample tells nothing of its speed: the prompt was
     * cached there unknown to this daemon, or events were held back on the way. Engines take 0.3 or more.
     */
    private static final double MIN_CREDIBLE_SHARE = 0.2;

    /** Tokens of one event, each of which takes a decode step. */
    private static final double TOKENS_PER_EVENT = 7;

    private final Map<PoolId, PoolSpeed> pools = new HashMap<>();

    /**
     * Records a completed prefill on an engine that does not decode.
     *
     * @param queue        the queue before it
     * @param actualMillis the time from the request to the handle
     */
    public void recordPrefill(
            QueueWatch queue, long uncachedTokens, long promptTokens, double actualMillis, long nowMillis) {
        EngineState engine = queue.engine();
        double expectedMillis = engine.speed().prefillMillis(uncachedTokens, promptTokens);
        double waitMillis = queue.queuedTokens() / engine.speed().prefillTokensPerMilli();
        double nominalMillis = EngineSpeed.NOMINAL.prefillMillis(uncachedTokens, promptTokens);
        if (waitMillis > MAX_WAIT_SHARE * expectedMillis || actualMillis < MIN_CREDIBLE_SHARE * nominalMillis) {
            return;
        }
        double boundedMillis = expectedMillis * boundedRatio((actualMillis - waitMillis) / expectedMillis);
        PoolSpeed pool = pool(engine);
        double computeMillis = EngineSpeed.nominalComputeMillis(uncachedTokens, promptTokens);
        pool.recordPrefill(
                computeMillis, boundedMillis / engine.speed().prefillTimeRelativeTo(pool.speed()), nowMillis);
        EngineSpeed shape = pool.prefillShape();
        record(
                engine,
                shape.prefillScaled(boundedMillis / shape.prefillMillis(uncachedTokens, promptTokens)),
                nowMillis);
    }

    /**
     * Records the first event of a request whose KV cache was transferred to the engine.
     *
     * @param queue        the queue before it
     * @param actualMillis the time from the request to the event
     */
    public void recordFirstEvent(QueueWatch queue, Generation generation, double actualMillis, long nowMillis) {
        EngineState engine = queue.engine();
        double expectedMillis = engine.speed().firstEventMillis();
        double waitMillis = localWaitMillis(queue);
        double ownMillis = actualMillis - waitMillis - EngineEstimate.transferMillis(engine, generation);
        if (waitMillis <= MAX_WAIT_SHARE * expectedMillis
                && ownMillis >= MIN_CREDIBLE_SHARE * EngineSpeed.NOMINAL.firstEventMillis()
                && hasRoom(engine)) {
            record(
                    engine,
                    EngineSpeed.ofFirstEvent(expectedMillis * boundedRatio(ownMillis / expectedMillis)),
                    nowMillis);
        }
    }

    /**
     * Records the first event of a request whose prompt the decode engine has prefilled itself. The part of the time
     * that the first event takes by itself is taken as known.
     *
     * @param queue        the queue before it
     * @param actualMillis the time from the request to the event
     */
    public void recordLocalPrefill(
            QueueWatch queue, long uncachedTokens, long promptTokens, double actualMillis, long nowMillis) {
        EngineState engine = queue.engine();
        double expectedMillis = EngineEstimate.localPrefillMillis(engine, uncachedTokens, promptTokens);
        double waitMillis = localWaitMillis(queue);
        double ownMillis = actualMillis - waitMillis - engine.speed().firstEventMillis();
        if (expectedMillis > engine.speed().firstEventMillis()
                && waitMillis <= MAX_WAIT_SHARE * expectedMillis
                && ownMillis >= MIN_CREDIBLE_SHARE * expectedMillis
                && hasRoom(engine)) {
            record(engine, engine.speed().prefillScaled(boundedRatio(ownMillis / expectedMillis)), nowMillis);
        }
    }

    /**
     * Records the mean pause between the events of a stream, which an engine with free slots has completed.
     */
    public void recordPauses(EngineState engine, double pauseMillis, long nowMillis) {
        double expectedMillis = engine.speed().stepMillis();
        double stepMillis = pauseMillis / TOKENS_PER_EVENT;
        if (stepMillis >= MIN_CREDIBLE_SHARE * EngineSpeed.NOMINAL.stepMillis() && hasRoom(engine)) {
            double ratio = boundedRatio(stepMillis / expectedMillis);
            record(engine, EngineSpeed.ofStep(expectedMillis * ratio), nowMillis);
        }
    }

    /**
     * Learns what another source has measured.
     *
     * @return whether the report has a figure that is plausible and not too old; otherwise it changes nothing
     */
    public boolean learn(EngineState engine, InstanceId source, SpeedReport report, long nowMillis) {
        SpeedReport plausible = new SpeedReport(report.speed().plausible(), report.samples(), report.atMillis());
        if (!plausible.isUsable(nowMillis)) {
            return false;
        }
        engine.measurements().learn(source, plausible);
        return true;
    }

    /**
     * Applies the samples and reports so far to the estimates, and the time since them.
     */
    public void refresh(Collection<EngineState> engines, long nowMillis) {
        Map<PoolId, List<EngineState>> byPool = engines.stream()
                .collect(Collectors.groupingBy(engine -> engine.endpoint().pool()));
        byPool.forEach((id, members) -> {
            EngineSpeed ofPool =
                    pools.computeIfAbsent(id, key -> new PoolSpeed()).refresh(members, nowMillis);
            members.forEach(engine -> engine.updateSpeed(engine.measurements().speed(ofPool, nowMillis), ofPool));
        });
    }

    /**
     * Returns the learned speed of a pool, with which its engines start.
     */
    public EngineSpeed speed(PoolId pool) {
        PoolSpeed known = pools.get(pool);
        return known == null ? EngineSpeed.NOMINAL : known.speed();
    }

    /**
     * Passes on the learned speed of each pool.
     */
    public void forEachPool(BiConsumer<PoolId, EngineSpeed> consumer) {
        pools.forEach((id, pool) -> consumer.accept(id, pool.speed()));
    }

    private void record(EngineState engine, EngineSpeed sample, long nowMillis) {
        PoolSpeed pool = pool(engine);
        pool.record(sample, nowMillis);
        engine.measurements().record(sample, nowMillis);
        engine.updateSpeed(engine.measurements().speed(pool.speed(), nowMillis), pool.speed());
    }

    private PoolSpeed pool(EngineState engine) {
        return pools.computeIfAbsent(engine.endpoint().pool(), id -> new PoolSpeed());
    }

    private static double localWaitMillis(QueueWatch queue) {
        return EngineEstimate.localWaitMillis(queue.engine(), queue.queuedTokens());
    }

    private static boolean hasRoom(EngineState engine) {
        return engine.totalRunning() <= MAX_RUNNING_SHARE * engine.spec().slots();
    }

    private static double boundedRatio(double ratio) {
        return Math.max(MIN_SAMPLE_RATIO, Math.min(MAX_SAMPLE_RATIO, ratio));
    }
}
