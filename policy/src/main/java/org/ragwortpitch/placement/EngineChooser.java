package org.ragwortpitch.placement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Chooses the engines with the least estimated time to the first event, plus what bytes between failure domains, moved
 * memory and crowding cost in equal terms. Requests of one subject prefer one reader (rendezvous hashing, Thaler and
 * Ravishankar 1998), so that daemons agree on it without a word and each subject is kept once.
 */
public final class EngineChooser {

    /** What a send to another failure domain costs, in milliseconds; what the bytes cost beside a late answer. */
    private static final double OTHER_DOMAIN_MILLIS = 20;

    /** What a hand-over costs besides its time, in milliseconds; the memory that is moved has a price. */
    private static final double HAND_OVER_MILLIS = 20;

    /** How much better another engine must be to leave a subject's preferred one, in milliseconds. */
    private static final double PREFERRED_MILLIS = 40;

    /** What each running request adds to the steps of all others, in milliseconds to the first event. */
    private static final double RUNNING_MILLIS = 1.5;

    /** From this part of its slots or memory on, an engine is crowded: requests wait or are interrupted there. */
    private static final double CROWDED_SHARE = 0.85;

    /** What crowding costs, in milliseconds for each tenth of the capacity beyond the crowded share. */
    private static final double CROWDED_MILLIS = 400;

    private static final double TENTHS = 10;

    private final FailureDomain domain;

    /**
     * Makes a chooser for a daemon.
     *
     * @param domain the daemon's failure domain
     */
    public EngineChooser(FailureDomain domain) {
        this.domain = domain;
    }

    /**
     * Chooses engines.
     *
     * @param engines those that may be used
     * @return empty if none of them makes tokens
     */
    public Optional<Placement> choose(Generation generation, Collection<Engine> engines) {
        List<Engine> decoders = withRole(engines, EndpointRole.DECODE);
        List<Engine> readers = withRole(engines, EndpointRole.PREFILL);
        Choice best = null;
        Optional<Reader> reader = bestReader(generation, readers);
        for (Engine decoder : decoders) {
            double extra = extraMillis(decoder, generation);
            double local = EngineEstimate.localMillis(decoder, generation);
            best = better(
                    best,
                    new Choice(
                            new Placement(decoder, Optional.empty(), local, EngineEstimate.localWaitMillis(decoder)),
                            local + extra + EngineEstimate.disturbedMillis(decoder, generation)));
            if (reader.isPresent()) {
                double time = reader.get().millis() + EngineEstimate.handedOverMillis(decoder, generation);
                double cost = reader.get().cost() - reader.get().millis() + time + HAND_OVER_MILLIS + extra;
                best = better(
                        best,
                        new Choice(
                                new Placement(
                                        decoder,
                                        Optional.of(reader.get().engine()),
                                        time,
                                        EngineEstimate.readerWaitMillis(
                                                reader.get().engine())),
                                cost));
            }
        }
        return Optional.ofNullable(best).map(Choice::placement);
    }

    private static Choice better(Choice one, Choice other) {
        return one == null || other.cost() < one.cost() ? other : one;
    }

    private Optional<Reader> bestReader(Generation generation, List<Engine> readers) {
        Optional<EndpointId> preferred = preferred(generation.subject(), readers);
        Reader best = null;
        for (Engine engine : readers) {
            double millis = EngineEstimate.readMillis(engine, generation);
            double bonus = preferred.filter(engine.endpoint().id()::equals).isPresent() ? PREFERRED_MILLIS : 0;
            double cost = millis + domainMillis(engine) - bonus;
            if (best == null || cost < best.cost()) {
                best = new Reader(engine, millis, cost);
            }
        }
        return Optional.ofNullable(best);
    }

    private double extraMillis(Engine engine, Generation generation) {
        double slots = (engine.totalRunning() + 1.0) / engine.spec().slots();
        double memory = (engine.totalHeldTokens() + generation.countedTokens())
                / (double) engine.spec().memoryTokens();
        double over = Math.max(0, Math.max(slots, memory) - CROWDED_SHARE);
        return domainMillis(engine) + RUNNING_MILLIS * engine.totalRunning() + CROWDED_MILLIS * TENTHS * over;
    }

    private double domainMillis(Engine engine) {
        return engine.endpoint().domain().equals(domain) ? 0 : OTHER_DOMAIN_MILLIS;
    }

    private static Optional<EndpointId> preferred(long subject, List<Engine> engines) {
        return subject == 0
                ? Optional.empty()
                : engines.stream()
                        .map(engine -> engine.endpoint().id())
                        .max(Comparator.comparingLong(id -> weight(subject, id)));
    }

    private static long weight(long subject, EndpointId id) {
        byte[] name = id.value().getBytes(StandardCharsets.UTF_8);
        byte[] input = ByteBuffer.allocate(Long.BYTES + name.length)
                .putLong(subject)
                .put(name)
                .array();
        return MurmurHash3.hash128x64(input)[0];
    }

    private static List<Engine> withRole(Collection<Engine> engines, EndpointRole role) {
        return engines.stream()
                .filter(engine -> engine.endpoint().role() == role)
                .toList();
    }

    /**
     * A reader with its time and its cost in equal terms.
     */
    private record Reader(Engine engine, double millis, double cost) {}

    /**
     * A placement with its cost.
     */
    private record Choice(Placement placement, double cost) {}
}
