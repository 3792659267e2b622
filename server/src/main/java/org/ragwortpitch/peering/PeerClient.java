package org.ragwortpitch.peering;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.admission.QuotaLenders;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.PeerProgressReported;
import org.ragwortpitch.control.PeerRecords;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.PeerProgress;
import org.ragwortpitch.poison.Fingerprint;
import org.ragwortpitch.usage.UsageEntry;
import org.ragwortpitch.wire.PeerException;
import org.ragwortpitch.wire.PeerTransport;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Calls other daemons over the peer transport. Thread-safe.
 */
public final class PeerClient implements QuotaLenders {

    /**
     * Timeout of a call, in milliseconds. Requests to borrow quota use {@link
     * AdmissionControl#BORROWED_QUOTA_MILLIS} instead.
     */
    private static final long CALL_TIMEOUT_MILLIS = 400;

    /**
     * Number of other members that hold a replica of a usage entry while the log does not accept it.
     */
    private static final int REPLICA_COUNT = 2;

    private final PeerTransport transport;

    private final Supplier<Snapshot> snapshots;

    private final Consumer<ControlMessage> control;

    private final Clocks clocks;

    private final FailureDomain here;

    /**
     * Creates a client of the other members.
     *
     * @param transport carries the calls
     * @param snapshots supplies the current control state
     * @param control   sends messages to the control thread
     * @param clocks    the clocks
     * @param here      this daemon's failure domain, which never holds replicas of its usage
     */
    public PeerClient(
            PeerTransport transport,
            Supplier<Snapshot> snapshots,
            Consumer<ControlMessage> control,
            Clocks clocks,
            FailureDomain here) {
        this.transport = transport;
        this.snapshots = snapshots;
        this.control = control;
        this.clocks = clocks;
        this.here = here;
    }

    /**
     * Queries the applied offset of every other member, fetches log records from members that are ahead, and closes
     * connections to daemons that are no longer members.
     */
    public void pollPeers() {
        Snapshot snapshot = snapshots.get();
        Set<String> addresses = new HashSet<>();
        for (Member member : otherMembers(snapshot)) {
            addresses.add(member.peerAddress());
            queryPresence(snapshot.self(), member);
        }
        transport.retain(addresses);
    }

    private void queryPresence(Incarnation self, Member member) {
        long queriedMillis = clocks.nowMillis();
        Frame query = Frame.newBuilder()
                .setPresenceQuery(PeerProtocol.PresenceQuery.newBuilder().setIncarnation(self.value()))
                .build();
        transport.call(member.peerAddress(), query, CALL_TIMEOUT_MILLIS).thenAccept(answer -> {
            PeerProtocol.Presence presence = answer.getPresence();
            if (!presence.getIncarnation().equals(member.incarnation().value())) {
                return;
            }
            long age = presence.getContactAgeMillis();
            control.accept(new PeerProgressReported(new PeerProgress(
                    member.incarnation(),
                    presence.getAppliedOffset(),
                    age < 0 ? Long.MIN_VALUE : queriedMillis - age,
                    queriedMillis,
                    presence.getPromised())));
            if (presence.getAppliedOffset() > snapshots.get().appliedOffset()) {
                fetchRecords(member, snapshots.get().appliedOffset() + 1);
            }
        });
    }

    private void fetchRecords(Member member, long fromOffset) {
        Frame query = Frame.newBuilder()
                .setRecordsQuery(PeerProtocol.RecordsQuery.newBuilder().setFromOffset(fromOffset))
                .build();
        transport
                .call(member.peerAddress(), query, CALL_TIMEOUT_MILLIS)
                .thenAccept(answer -> control.accept(new PeerRecords(FrameCodec.records(answer.getRecords()))));
    }

    @Override
    public CompletionStage<Admission> borrow(
            Incarnation owner, AccountId account, TransferId id, QuotaAmount requested) {
        Optional<Member> lender = findMember(owner);
        if (lender.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException("quota owner " + owner + " is not a member"));
        }
        return transport
                .call(
                        lender.get().peerAddress(),
                        FrameCodec.loanRequest(account, id, requested),
                        AdmissionControl.BORROWED_QUOTA_MILLIS)
                .thenApply(answer -> FrameCodec.admission(answer.getLoanReply()));
    }

    @Override
    public void settle(Incarnation owner, AccountId account, TransferId id, QuotaAmount used) {
        findMember(owner)
                .ifPresent(lender -> transport.call(
                        lender.peerAddress(), FrameCodec.loanSettled(account, id, used), CALL_TIMEOUT_MILLIS));
    }

    @Override
    public void handOver(Member successor, QuotaHandover handover) {
        transport.call(successor.peerAddress(), FrameCodec.handover(handover), CALL_TIMEOUT_MILLIS);
    }

    /**
     * Replicates a usage entry to two other members, in other failure domains than this daemon's and in different ones
     * where the members allow it.
     *
     * @param entry the usage
     * @return true once all replicas are held; false if too few members are eligible or a call fails
     */
    public CompletableFuture<Boolean> replicateUsage(UsageEntry entry) {
        List<Member> replicas = selectReplicas();
        if (replicas.size() < REPLICA_COUNT) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (Member replica : replicas) {
            CompletableFuture<Boolean> held = transport
                    .call(replica.peerAddress(), FrameCodec.usageHold(entry), CALL_TIMEOUT_MILLIS)
                    .thenApply(answer -> answer.getUsageHeld().getHeld())
                    .exceptionally(failure -> false);
            all = all.thenCombine(held, (previous, current) -> previous && current);
        }
        return all;
    }

    /**
     * Notifies all other members of a poison request. Replies are not awaited, and failed calls are not repeated.
     *
     * @param request the fingerprint of the request
     * @param crashes the number of endpoint crashes during which the request was running
     */
    public void broadcastPoisonRequest(Fingerprint request, int crashes) {
        Frame frame = Frame.newBuilder()
                .setSuspect(PeerProtocol.Suspect.newBuilder()
                        .setFingerprint(request.value())
                        .setCrashes(crashes))
                .build();
        otherMembers(snapshots.get())
                .forEach(member -> transport.call(member.peerAddress(), frame, CALL_TIMEOUT_MILLIS));
    }

    /**
     * Selects the members that hold a replica: first at most one per other failure domain, then any others outside this
     * daemon's failure domain. The random order spreads the replicas over the members.
     */
    private List<Member> selectReplicas() {
        List<Member> candidates = new ArrayList<>(otherMembers(snapshots.get()));
        Collections.shuffle(candidates);
        List<Member> chosen = new ArrayList<>();
        Set<FailureDomain> usedDomains = new HashSet<>(Set.of(here));
        for (Member candidate : candidates) {
            if (chosen.size() < REPLICA_COUNT && usedDomains.add(candidate.failureDomain())) {
                chosen.add(candidate);
            }
        }
        for (Member candidate : candidates) {
            boolean otherDomain = !candidate.failureDomain().equals(here);
            if (chosen.size() < REPLICA_COUNT && otherDomain && !chosen.contains(candidate)) {
                chosen.add(candidate);
            }
        }
        return chosen;
    }

    private Optional<Member> findMember(Incarnation incarnation) {
        return snapshots.get().members().stream()
                .filter(member -> member.incarnation().equals(incarnation))
                .findFirst();
    }

    private static List<Member> otherMembers(Snapshot snapshot) {
        return snapshot.members().stream()
                .filter(member -> !member.incarnation().equals(snapshot.self()))
                .toList();
    }
}
