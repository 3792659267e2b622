package org.ragwortpitch.peering;

import java.util.List;
import org.ragwortpitch.control.PresenceResponse;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.platform.StoredRecord;
import org.ragwortpitch.usage.UsageEntry;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Converts domain values to protobuf frames and back.
 */
final class FrameCodec {

    private FrameCodec() {}

    static Frame presence(PresenceResponse answer) {
        return Frame.newBuilder()
                .setPresence(PeerProtocol.Presence.newBuilder()
                        .setIncarnation(answer.self().value())
                        .setAppliedOffset(answer.appliedOffset())
                        .setContactAgeMillis(answer.contactAgeMillis())
                        .setPromised(answer.promised()))
                .build();
    }

    static Frame loanRequest(AccountId account, TransferId id, QuotaAmount requested) {
        return Frame.newBuilder()
                .setLoanRequest(PeerProtocol.LoanRequest.newBuilder()
                        .setAccount(account.value())
                        .setId(id.value())
                        .setTokens(requested.tokens())
                        .setRequests(requested.requests()))
                .build();
    }

    static Frame loanReply(Admission admission) {
        return Frame.newBuilder()
                .setLoanReply(PeerProtocol.LoanReply.newBuilder()
                        .setId(admission.id().value())
                        .setKind(admission.kind().name())
                        .setRetryAfterMillis(admission.retryAfterMillis()))
                .build();
    }

    /**
     * Decodes the reply to a request to borrow quota. A reply of unknown kind is read as {@code
     * NOT_READY}, which grants nothing.
     */
    static Admission admission(PeerProtocol.LoanReply reply) {
        AdmissionKind kind = AdmissionKind.NOT_READY;
        for (AdmissionKind candidate : AdmissionKind.values()) {
            kind = candidate.name().equals(reply.getKind()) ? candidate : kind;
        }
        return new Admission(kind, new TransferId(reply.getId()), reply.getRetryAfterMillis());
    }

    /**
     * Encodes the settlement of borrowed quota.
     *
     * @param used the part of the borrowed quota that was used
     */
    static Frame loanSettled(AccountId account, TransferId id, QuotaAmount used) {
        return Frame.newBuilder()
                .setLoanSettled(PeerProtocol.LoanSettled.newBuilder()
                        .setAccount(account.value())
                        .setId(id.value())
                        .setTokens(used.tokens())
                        .setRequests(used.requests()))
                .build();
    }

    static Frame handover(QuotaHandover handover) {
        return Frame.newBuilder()
                .setShareSurrender(PeerProtocol.ShareSurrender.newBuilder()
                        .setAccount(handover.account().value())
                        .setHeir(handover.successor().value())
                        .setAppliedOffset(handover.appliedOffset())
                        .setLevelTokens(handover.level().tokens())
                        .setLevelRequests(handover.level().requests())
                        .setLentTokens(handover.lent().tokens())
                        .setLentRequests(handover.lent().requests()))
                .build();
    }

    static QuotaHandover handover(PeerProtocol.ShareSurrender share) {
        return new QuotaHandover(
                new AccountId(share.getAccount()),
                new Incarnation(share.getHeir()),
                share.getAppliedOffset(),
                new QuotaAmount(share.getLevelTokens(), share.getLevelRequests()),
                new QuotaAmount(share.getLentTokens(), share.getLentRequests()));
    }

    static Frame usageHold(UsageEntry entry) {
        return Frame.newBuilder()
                .setUsageHold(PeerProtocol.UsageHold.newBuilder()
                        .addEntries(PeerProtocol.Usage.newBuilder()
                                .setAccount(entry.account().value())
                                .setRequest(entry.request().value())
                                .setModel(entry.model())
                                .setWindow(entry.window())
                                .setPromptTokens(entry.promptTokens())
                                .setCachedTokens(entry.cachedTokens())
                                .setOutputTokens(entry.outputTokens())))
                .build();
    }

    static List<UsageEntry> usage(PeerProtocol.UsageHold hold) {
        return hold.getEntriesList().stream()
                .map(usage -> new UsageEntry(
                        new AccountId(usage.getAccount()),
                        new RequestId(usage.getRequest()),
                        usage.getModel(),
                        usage.getWindow(),
                        usage.getPromptTokens(),
                        usage.getCachedTokens(),
                        usage.getOutputTokens()))
                .toList();
    }

    static Frame records(List<StoredRecord> records) {
        PeerProtocol.Records.Builder builder = PeerProtocol.Records.newBuilder();
        records.forEach(record -> builder.addRecords(PeerProtocol.StoredRecord.newBuilder()
                .setOffset(record.offset())
                .setText(record.text())));
        return Frame.newBuilder().setRecords(builder).build();
    }

    static List<StoredRecord> records(PeerProtocol.Records records) {
        return records.getRecordsList().stream()
                .map(record -> new StoredRecord(record.getOffset(), record.getText()))
                .toList();
    }
}
