package org.ragwortpitch.edge.traffic;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.poison.CrashStanding;
import org.ragwortpitch.poison.EndpointCrash;
import org.ragwortpitch.wire.generated.GossipProtocol.CrashedEndpoint;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.LostRequest;

/**
 * Encodes crashes of endpoints for gossip, with ages instead of times, as each daemon has its own monotonic clock.
 */
public final class EndpointCrashCodec {

    /** Longer ages count as this one, in milliseconds; no crash is kept for so long. */
    private static final long MAX_AGE_MILLIS = 86_400_000;

    private EndpointCrashCodec() {}

    static CrashedEndpoint encode(EndpointCrash crash, long nowMillis) {
        CrashedEndpoint.Builder message = CrashedEndpoint.newBuilder()
                .setEndpoint(crash.endpoint().endpoint().value())
                .setBornMillis(crash.endpoint().startMillis())
                .setAgeMillis(nowMillis - crash.atMillis())
                .addAllServed(values(crash.served(), CrashCause.Kind.BLOCK))
                .addAllProven(values(crash.proven(), CrashCause.Kind.BLOCK))
                .addAllServedRequests(values(crash.served(), CrashCause.Kind.REQUEST))
                .addAllProvenRequests(values(crash.proven(), CrashCause.Kind.REQUEST))
                .setRefuted(crash.standing() != CrashStanding.REPORTED)
                .setConfirmed(crash.standing() == CrashStanding.CONFIRMED);
        crash.requests().forEach(causes -> message.addRequests(encode(causes)));
        return message.build();
    }

    private static LostRequest encode(List<CrashCause> causes) {
        LostRequest.Builder message = LostRequest.newBuilder().addAllBlocks(values(causes, CrashCause.Kind.BLOCK));
        values(causes, CrashCause.Kind.REQUEST).forEach(message::setRequest);
        return message.build();
    }

    static EndpointCrash decode(CrashedEndpoint message, long nowMillis) {
        Set<List<CrashCause>> requests = message.getRequestsList().stream()
                .map(EndpointCrashCodec::decode)
                .collect(Collectors.toSet());
        return new EndpointCrash(
                new EndpointIncarnation(new EndpointId(message.getEndpoint()), message.getBornMillis()),
                nowMillis - Math.min(MAX_AGE_MILLIS, Math.max(0, message.getAgeMillis())),
                requests,
                causes(message.getServedList(), message.getServedRequestsList()),
                causes(message.getProvenList(), message.getProvenRequestsList()),
                standing(message));
    }

    private static CrashStanding standing(CrashedEndpoint message) {
        if (message.getConfirmed()) {
            return CrashStanding.CONFIRMED;
        }
        return message.getRefuted() ? CrashStanding.REFUTED : CrashStanding.REPORTED;
    }

    private static List<CrashCause> decode(LostRequest message) {
        List<CrashCause> causes = new ArrayList<>();
        message.getBlocksList().forEach(block -> causes.add(new CrashCause(CrashCause.Kind.BLOCK, block)));
        if (message.hasRequest()) {
            causes.add(new CrashCause(CrashCause.Kind.REQUEST, message.getRequest()));
        }
        return List.copyOf(causes);
    }

    /**
     * Encodes crashes for the store.
     *
     * @param wallMillis the wall clock, from which a reader computes the age of the crashes
     */
    public static byte[] encodeRecord(Collection<EndpointCrash> crashes, long nowMillis, long wallMillis) {
        Gossip.Builder record = Gossip.newBuilder().setWallMillis(wallMillis);
        crashes.forEach(crash -> record.addCrashedEndpoints(encode(crash, nowMillis)));
        return record.build().toByteArray();
    }

    /**
     * Decodes crashes from the store.
     *
     * @throws InvalidProtocolBufferException if the record cannot be read
     */
    public static List<EndpointCrash> decodeRecord(byte[] bytes, long nowMillis, long wallMillis)
            throws InvalidProtocolBufferException {
        Gossip record = Gossip.parseFrom(bytes);
        long recordAgeMillis = Math.min(MAX_AGE_MILLIS, Math.max(0, wallMillis - Math.max(0, record.getWallMillis())));
        return record.getCrashedEndpointsList().stream()
                .map(crash -> decode(crash, nowMillis - recordAgeMillis))
                .toList();
    }

    private static List<Long> values(Collection<CrashCause> causes, CrashCause.Kind kind) {
        return causes.stream()
                .filter(cause -> cause.kind() == kind)
                .map(CrashCause::value)
                .toList();
    }

    private static Set<CrashCause> causes(List<Long> blocks, List<Long> requests) {
        Set<CrashCause> causes = new HashSet<>();
        blocks.forEach(block -> causes.add(new CrashCause(CrashCause.Kind.BLOCK, block)));
        requests.forEach(request -> causes.add(new CrashCause(CrashCause.Kind.REQUEST, request)));
        return causes;
    }
}
