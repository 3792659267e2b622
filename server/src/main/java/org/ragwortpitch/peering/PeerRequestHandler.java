package org.ragwortpitch.peering;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.control.AskPresence;
import org.ragwortpitch.control.AskRecords;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.HoldUsage;
import org.ragwortpitch.dispatch.SuspectRegistry;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.wire.PeerService;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Answers other daemons.
 *
 * @param admission lends allowance
 * @param suspects  knows the requests that crash endpoints
 * @param control   sends messages to the control thread
 */
public record PeerRequestHandler(AdmissionControl admission, SuspectRegistry suspects, Consumer<ControlMessage> control)
        implements PeerService {

    @Override
    public CompletionStage<Frame> answer(Frame call) {
        switch (call.getBodyCase()) {
            case PRESENCE_QUERY:
                return presence(new Incarnation(call.getPresenceQuery().getIncarnation()));
            case RECORDS_QUERY:
                AskRecords records = new AskRecords(call.getRecordsQuery().getFromOffset(), new CompletableFuture<>());
                control.accept(records);
                return records.result().thenApply(FrameCodec::records);
            case USAGE_HOLD:
                HoldUsage hold = new HoldUsage(FrameCodec.usage(call.getUsageHold()), new CompletableFuture<>());
                control.accept(hold);
                return hold.result().thenApply(held -> Frame.newBuilder()
                        .setUsageHeld(PeerProtocol.UsageHeld.newBuilder().setHeld(held))
                        .build());
            default:
                return CompletableFuture.completedFuture(answerAtOnce(call));
        }
    }

    /**
     * Answers how far this daemon is.
     *
     * @param asker the other daemon
     * @return the answer
     */
    private CompletionStage<Frame> presence(Incarnation asker) {
        AskPresence question = new AskPresence(asker, new CompletableFuture<>());
        control.accept(question);
        return question.result().thenApply(FrameCodec::presence);
    }

    /**
     * Answers a call on limits.
     *
     * @param call the call
     * @return the answer; an empty frame for none
     */
    private Frame answerAtOnce(Frame call) {
        switch (call.getBodyCase()) {
            case LOAN_REQUEST:
                PeerProtocol.LoanRequest loan = call.getLoanRequest();
                return FrameCodec.loanReply(admission.lend(
                        new AccountId(loan.getAccount()),
                        new TransferId(loan.getId()),
                        new Allowance(loan.getTokens(), loan.getRequests())));
            case LOAN_SETTLED:
                PeerProtocol.LoanSettled settled = call.getLoanSettled();
                admission.settleHere(
                        new AccountId(settled.getAccount()),
                        new TransferId(settled.getId()),
                        new Allowance(settled.getTokens(), settled.getRequests()));
                return Frame.getDefaultInstance();
            case SUSPECT:
                PeerProtocol.Suspect suspect = call.getSuspect();
                suspects.learn(new Fingerprint(suspect.getFingerprint()), suspect.getCrashes());
                return Frame.getDefaultInstance();
            case SHARE_SURRENDER:
                admission.inherit(FrameCodec.surrender(call.getShareSurrender()));
                return Frame.getDefaultInstance();
            default:
                return Frame.getDefaultInstance();
        }
    }
}
