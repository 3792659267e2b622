package org.ragwortpitch.edge.traffic;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufUtil;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.PrefixBlockId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.poison.EndpointCrash;
import org.ragwortpitch.poison.Fingerprint;
import org.ragwortpitch.poison.PoisonTracker;

/**
 * Tracks what crashes endpoints: requests that come again, which every daemon recognises by a fingerprint of their
 * caller, path and body, and prefix blocks that different requests share. Confined to the traffic thread.
 */
public final class PoisonRequests {

    private static final Logger LOGGER = System.getLogger(PoisonRequests.class.getName());

    private static final int MAX_LOST_CAUSES = 1_000;

    private final PoisonTracker tracker = new PoisonTracker();
    private final BiConsumer<CrashCause, Collection<EndpointCrash>> onPoison;

    /** What was in the requests that this daemon has lost, least recently lost first. */
    private final Set<CrashCause> lostCauses = new LinkedHashSet<>();

    /** Crashes that this daemon has recorded itself, least recent first. */
    private final Map<EndpointIncarnation, OwnCrash> ownCrashes = new LinkedHashMap<>() {

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, OwnCrash> eldest) {
            return size() > MAX_LOST_CAUSES;
        }
    };

    private Set<CrashCause> announcedPoison = Set.of();

    /**
     * Creates a tracker without crashes.
     *
     * @param onPoison called with each cause that is held responsible for crashes, some of which this daemon has seen,
     *                 and with all known crashes
     */
    public PoisonRequests(BiConsumer<CrashCause, Collection<EndpointCrash>> onPoison) {
        this.onPoison = onPoison;
    }

    /**
     * Returns what a request may crash endpoints by, the least specific first; the same at every daemon.
     *
     * @param caller       the account, or what the request has instead of a known key
     * @param prefixBlocks the prefix blocks of its prompt that other requests may share
     */
    static List<CrashCause> causes(String caller, CallerRequest request, List<PrefixBlock> prefixBlocks) {
        List<CrashCause> causes = new ArrayList<>();
        prefixBlocks.forEach(block -> causes.add(CrashCause.of(new PrefixBlockId(block.id()))));
        causes.add(
                CrashCause.of(Fingerprint.of(caller + '\n' + request.target(), ByteBufUtil.hexDump(request.body()))));
        return List.copyOf(causes);
    }

    /**
     * Records that a connection broke while the endpoint executed a request. Prefix blocks crash engines before they
     * respond, so of a request that had a response only the request itself is a cause.
     *
     * @param inRequest what may crash endpoints in the request, as from {@link #causes}; empty if the endpoint had
     *                  responded for too long to have crashed on it
     * @param responded whether it had begun to respond
     */
    void recordCrash(
            String attemptId, Endpoint endpoint, boolean responded, List<CrashCause> inRequest, long nowMillis) {
        List<CrashCause> causes = inRequest.stream()
                .filter(cause -> !responded || cause.kind() == CrashCause.Kind.REQUEST)
                .toList();
        if (!causes.isEmpty()) {
            lostCauses.removeAll(causes);
            lostCauses.addAll(causes);
            while (lostCauses.size() > MAX_LOST_CAUSES) {
                lostCauses.remove(lostCauses.iterator().next());
            }
            tracker.crashed(endpoint.incarnation(), causes, nowMillis);
            ownCrashes.put(endpoint.incarnation(), new OwnCrash(endpoint.pool(), nowMillis));
        }
        Event.of("suspect")
                .with("request", attemptId)
                .with("fingerprint", join(causes, CrashCause.Kind.REQUEST))
                .with("crashes", causes.isEmpty() ? 0 : tracker.crashesUnder(causes.get(causes.size() - 1)))
                .with("endpoint", endpoint.id())
                .with("born", endpoint.startMillis())
                .with("responded", responded)
                .with("prefix-blocks", join(causes, CrashCause.Kind.BLOCK))
                .info(LOGGER);
        announcePoison(nowMillis);
    }

    /**
     * Withdraws the crashes that this daemon has recorded of a pool since a time, as it has lost contact with it.
     *
     * @return the endpoints
     */
    List<EndpointIncarnation> withdrawCrashes(PoolId pool, long sinceMillis, long nowMillis) {
        ownCrashes.values().removeIf(crash -> crash.atMillis() < sinceMillis);
        List<EndpointIncarnation> withdrawn = ownCrashes.entrySet().stream()
                .filter(crash -> crash.getValue().pool().equals(pool))
                .map(Map.Entry::getKey)
                .toList();
        for (EndpointIncarnation endpoint : withdrawn) {
            tracker.withdraw(endpoint, nowMillis);
            log("crash-withdrawn", endpoint);
        }
        announcePoison(nowMillis);
        return withdrawn;
    }

    /**
     * Restores a crash that was withdrawn, as it turned out that the endpoint has ended.
     */
    void confirmCrash(EndpointIncarnation endpoint, long nowMillis) {
        tracker.confirm(endpoint, nowMillis);
        log("crash-confirmed", endpoint);
        announcePoison(nowMillis);
    }

    private static void log(String event, EndpointIncarnation endpoint) {
        Event.of(event)
                .with("endpoint", endpoint.endpoint())
                .with("born", endpoint.startMillis())
                .info(LOGGER);
    }

    /**
     * Records that an endpoint has begun to respond to a request.
     *
     * @param sentMillis when the request was sent, in milliseconds of the monotonic clock
     */
    void recordResponse(Endpoint endpoint, long sentMillis, long nowMillis) {
        tracker.responded(endpoint.incarnation(), sentMillis, nowMillis);
        announcePoison(nowMillis);
    }

    /**
     * Records that an endpoint has executed a request successfully.
     *
     * @param causes what the request might have crashed it by
     */
    void recordCompletion(List<CrashCause> causes, long nowMillis) {
        tracker.completed(causes, nowMillis);
        announcePoison(nowMillis);
    }

    /**
     * Returns what in a request crashes the endpoints which begin to execute it; empty if there is nothing.
     */
    Optional<CrashCause> poisonIn(List<CrashCause> causes, long nowMillis) {
        return tracker.poisonIn(causes, nowMillis);
    }

    /**
     * Merges what another daemon knows about the crash of an endpoint.
     */
    public void mergeCrash(EndpointCrash crash, long nowMillis) {
        tracker.learn(crash, nowMillis);
        announcePoison(nowMillis);
    }

    /**
     * Merges a record of crashes from the store; logs one that cannot be read.
     *
     * @param wallMillis the wall clock, in milliseconds since 1970
     */
    public void mergeRecord(byte[] record, long nowMillis, long wallMillis) {
        try {
            EndpointCrashCodec.decodeRecord(record, nowMillis, wallMillis)
                    .forEach(crash -> mergeCrash(crash, nowMillis));
        } catch (InvalidProtocolBufferException exception) {
            Event.of("poison-block-unreadable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    /**
     * Returns the crashes of endpoints of which more is known since a time.
     */
    Collection<EndpointCrash> crashesChangedSince(long sinceMillis, long nowMillis) {
        return tracker.crashesChangedSince(sinceMillis, nowMillis);
    }

    private void announcePoison(long nowMillis) {
        Set<CrashCause> before = announcedPoison;
        if (tracker.poison().equals(before)) {
            return;
        }
        announcedPoison = tracker.poison();
        Event.of("poison-blocks")
                .with("blocks", join(announcedPoison, CrashCause.Kind.BLOCK))
                .with("fingerprints", join(announcedPoison, CrashCause.Kind.REQUEST))
                .info(LOGGER);
        announcedPoison.stream()
                .filter(cause -> !before.contains(cause) && lostCauses.contains(cause))
                .forEach(cause -> onPoison.accept(cause, tracker.crashes(nowMillis)));
    }

    /** When this daemon lost a request at an endpoint of a pool. */
    private record OwnCrash(PoolId pool, long atMillis) {}

    private static String join(Collection<CrashCause> causes, CrashCause.Kind kind) {
        return causes.stream()
                .filter(cause -> cause.kind() == kind)
                .map(cause -> Long.toHexString(cause.value()))
                .sorted()
                .collect(Collectors.joining(","));
    }

    /**
     * Returns why a request is not executed again, for callers.
     */
    static String describe(CrashCause poison) {
        return switch (poison.kind()) {
            case BLOCK -> "prefix block " + poison + " of the prompt has crashed several engines: send the request"
                    + " without it";
            case REQUEST -> "several endpoints have crashed while they executed this request: it is not executed"
                    + " again";
        };
    }
}
