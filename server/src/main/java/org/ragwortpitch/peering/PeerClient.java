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
import org.ragwortpitch.admission.Lenders;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.PeerPresence;
import org.ragwortpitch.control.PeerRecords;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.Witness;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.usage.UsageEntry;
import org.ragwortpitch.wire.PeerException;
import org.ragwortpitch.wire.PeerTransport;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Asks other daemons. Safe for use by many threads.
 */
public final class PeerClient implements Lenders {

    /**
     * How long an answer may take, in milliseconds.
     */
    private static final long CALL_MILLIS = 400;

    /**
     * How many other daemons hold usage that the log does not take.
     */
    private static final int HOLDERS = 2;

    /**
     * Carries the calls.
     */
    private final PeerTransport transport;

    /**
     * Supplies control state.
     */
    private final Supplier<Snapshot> snapshots;

    /**
     * Sends messages to the control thread.
     */
    private final Consumer<ControlMessage> control;

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * This daemon's failure domain.
     */
    private final FailureDomain here;

    /**
     * Makes a network.
     *
     * @param transport carries the calls
     * @param snapshots supplies control state
     * @param control   sends messages to the control thread
     * @param clocks    the clocks
     * @param here      this daemon's failure domain
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
     * Asks all other members how far they are, and for records that are missing here.
     */
    public void pollPeers() {
        Snapshot snapshot = snapshots.get();
        Set<String> addresses = new HashSet<>();
        for (Member member : others(snapshot)) {
            addresses.add(member.peerAddress());
            askPresence(snapshot.self(), member);
        }
        transport.retain(addresses);
    }

    /**
     * Asks a member how far it is.
     *
     * @param self   this daemon's incarnation
     * @param member the member
     */
    private void askPresence(Incarnation self, Member member) {
        long askedMillis = clocks.nowMillis();
        Frame query = Frame.newBuilder()
                .setPresenceQuery(PeerProtocol.PresenceQuery.newBuilder().setIncarnation(self.value()))
                .build();
        transport.call(member.peerAddress(), query, CALL_MILLIS).thenAccept(answer -> {
            PeerProtocol.Presence presence = answer.getPresence();
            if (!presence.getIncarnation().equals(member.incarnation().value())) {
                return;
            }
            long age = presence.getContactAgeMillis();
            control.accept(new PeerPresence(new Witness(
                    member.incarnation(),
                    presence.getAppliedOffset(),
                    age < 0 ? Long.MIN_VALUE : askedMillis - age,
                    askedMillis,
                    presence.getPromised())));
            if (presence.getAppliedOffset() > snapshots.get().appliedOffset()) {
                askRecords(member, snapshots.get().appliedOffset() + 1);
            }
        });
    }

    /**
     * Asks a member for records.
     *
     * @param member     the member
     * @param fromOffset the first offset wanted
     */
    private void askRecords(Member member, long fromOffset) {
        Frame query = Frame.newBuilder()
                .setRecordsQuery(PeerProtocol.RecordsQuery.newBuilder().setFromOffset(fromOffset))
                .build();
        transport
                .call(member.peerAddress(), query, CALL_MILLIS)
                .thenAccept(answer -> control.accept(new PeerRecords(FrameCodec.records(answer.getRecords()))));
    }

    @Override
    public CompletionStage<Admission> borrow(Incarnation home, AccountId account, TransferId id, Allowance wish) {
        Optional<Member> lender = find(home);
        if (lender.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException("the home " + home + " is no member"));
        }
        return transport
                .call(
                        lender.get().peerAddress(),
                        FrameCodec.loanRequest(account, id, wish),
                        AdmissionControl.BORROW_MILLIS)
                .thenApply(answer -> FrameCodec.admission(answer.getLoanReply()));
    }

    @Override
    public void settle(Incarnation home, AccountId account, TransferId id, Allowance used) {
        find(home)
                .ifPresent(lender ->
                        transport.call(lender.peerAddress(), FrameCodec.loanSettled(account, id, used), CALL_MILLIS));
    }

    @Override
    public void surrender(Member heir, Surrender surrender) {
        transport.call(heir.peerAddress(), FrameCodec.surrender(surrender), CALL_MILLIS);
    }

    /**
     * Asks other members to hold usage, in other failure domains than this and than each other if there are such.
     *
     * @param entry the usage
     * @return whether as many hold it as should
     */
    public CompletableFuture<Boolean> replicateUsage(UsageEntry entry) {
        List<Member> holders = holders();
        if (holders.size() < HOLDERS) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (Member holder : holders) {
            CompletableFuture<Boolean> held = transport
                    .call(holder.peerAddress(), FrameCodec.usageHold(entry), CALL_MILLIS)
                    .thenApply(answer -> answer.getUsageHeld().getHeld())
                    .exceptionally(failure -> false);
            all = all.thenCombine(held, (before, now) -> before && now);
        }
        return all;
    }

    /**
     * Tells all other members of a request that crashes endpoints.
     *
     * @param request the request
     * @param crashes the crashes that it was under way at
     */
    public void broadcastPoisonRequest(Fingerprint request, int crashes) {
        Frame frame = Frame.newBuilder()
                .setSuspect(PeerProtocol.Suspect.newBuilder()
                        .setFingerprint(request.value())
                        .setCrashes(crashes))
                .build();
        others(snapshots.get()).forEach(member -> transport.call(member.peerAddress(), frame, CALL_MILLIS));
    }

    /**
     * Chooses who holds usage.
     *
     * @return the members
     */
    private List<Member> holders() {
        List<Member> candidates = new ArrayList<>(others(snapshots.get()));
        Collections.shuffle(candidates);
        List<Member> chosen = new ArrayList<>();
        Set<FailureDomain> used = new HashSet<>(Set.of(here));
        for (Member candidate : candidates) {
            if (chosen.size() < HOLDERS && used.add(candidate.failureDomain())) {
                chosen.add(candidate);
            }
        }
        for (Member candidate : candidates) {
            boolean elsewhere = !candidate.failureDomain().equals(here);
            if (chosen.size() < HOLDERS && elsewhere && !chosen.contains(candidate)) {
                chosen.add(candidate);
            }
        }
        return chosen;
    }

    /**
     * Finds a member.
     *
     * @param incarnation its incarnation
     * @return the member, if it is one
     */
    private Optional<Member> find(Incarnation incarnation) {
        return snapshots.get().members().stream()
                .filter(member -> member.incarnation().equals(incarnation))
                .findFirst();
    }

    /**
     * Lists the other members.
     *
     * @param snapshot control state
     * @return the members
     */
    private static List<Member> others(Snapshot snapshot) {
        return snapshot.members().stream()
                .filter(member -> !member.incarnation().equals(snapshot.self()))
                .toList();
    }
}
