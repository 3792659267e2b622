package org.ragwortpitch.peering;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.control.BufferPeerUsage;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.QueryPresence;
import org.ragwortpitch.control.QueryRecords;
import org.ragwortpitch.dispatch.PoisonRequestRegistry;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.poison.Fingerprint;
import org.ragwortpitch.wire.PeerService;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Handles calls from other daemons. Calls that concern control state complete when the control thread has answered; the
 * others are answered on the calling thread.
 *
 * @param admission      lends quota to other daemons
 * @param poisonRequests counts the crashes of poison requests
 * @param control        sends messages to the control thread
 */
public record PeerRequestHandler(
        AdmissionControl admission, PoisonRequestRegistry poisonRequests, Consumer<ControlMessage> control)
        implements PeerService {

    @Override
    public CompletionStage<Frame> handle(Frame call) {
        switch (call.getBodyCase()) {
            case PRESENCE_QUERY:
                return presence(new Incarnation(call.getPresenceQuery().getIncarnation()));
            case RECORDS_QUERY:
                QueryRecords records =
                        new QueryRecords(call.getRecordsQuery().getFromOffset(), new CompletableFuture<>());
                control.accept(records);
                return records.result().thenApply(FrameCodec::records);
            case USAGE_HOLD:
                BufferPeerUsage hold =
                        new BufferPeerUsage(FrameCodec.usage(call.getUsageHold()), new CompletableFuture<>());
                control.accept(hold);
                return hold.result().thenApply(held -> Frame.newBuilder()
                        .setUsageHeld(PeerProtocol.UsageHeld.newBuilder().setHeld(held))
                        .build());
            default:
                return CompletableFuture.completedFuture(handleSynchronously(call));
        }
    }

    private CompletionStage<Frame> presence(Incarnation caller) {
        QueryPresence query = new QueryPresence(caller, new CompletableFuture<>());
        control.accept(query);
        return query.result().thenApply(FrameCodec::presence);
    }

    /**
     * Handles a call that is answered without the control thread.
     *
     * @return the reply; an empty frame if the call has none or is unknown
     */
    private Frame handleSynchronously(Frame call) {
        switch (call.getBodyCase()) {
            case LOAN_REQUEST:
                PeerProtocol.LoanRequest request = call.getLoanRequest();
                return FrameCodec.loanReply(admission.lend(
                        new AccountId(request.getAccount()),
                        new TransferId(request.getId()),
                        new QuotaAmount(request.getTokens(), request.getRequests())));
            case LOAN_SETTLED:
                PeerProtocol.LoanSettled settled = call.getLoanSettled();
                admission.settleLocally(
                        new AccountId(settled.getAccount()),
                        new TransferId(settled.getId()),
                        new QuotaAmount(settled.getTokens(), settled.getRequests()));
                return Frame.getDefaultInstance();
            case SUSPECT:
                PeerProtocol.Suspect suspect = call.getSuspect();
                poisonRequests.merge(new Fingerprint(suspect.getFingerprint()), suspect.getCrashes());
                return Frame.getDefaultInstance();
            case SHARE_SURRENDER:
                admission.acceptHandover(FrameCodec.handover(call.getShareSurrender()));
                return Frame.getDefaultInstance();
            default:
                return Frame.getDefaultInstance();
        }
    }
}
