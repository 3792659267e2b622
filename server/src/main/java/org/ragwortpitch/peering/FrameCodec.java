package org.ragwortpitch.peering;

import java.util.List;
import org.ragwortpitch.control.PresenceAnswer;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.platform.StoredRecord;
import org.ragwortpitch.usage.UsageEntry;
import org.ragwortpitch.wire.generated.PeerProtocol;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Turns values to frames and back.
 */
final class FrameCodec {

    /**
     * Not to be made.
     */
    private FrameCodec() {}

    /**
     * Makes the frame of a presence.
     *
     * @param answer the presence
     * @return the frame
     */
    static Frame presence(PresenceAnswer answer) {
        return Frame.newBuilder()
                .setPresence(PeerProtocol.Presence.newBuilder()
                        .setIncarnation(answer.self().value())
                        .setAppliedOffset(answer.appliedOffset())
                        .setContactAgeMillis(answer.contactAgeMillis())
                        .setPromised(answer.promised()))
                .build();
    }

    /**
     * Makes the frame of a wish for a loan.
     *
     * @param account the account
     * @param id      names the loan
     * @param wish    the allowance
     * @return the frame
     */
    static Frame loanRequest(AccountId account, TransferId id, Allowance wish) {
        return Frame.newBuilder()
                .setLoanRequest(PeerProtocol.LoanRequest.newBuilder()
                        .setAccount(account.value())
                        .setId(id.value())
                        .setTokens(wish.tokens())
                        .setRequests(wish.requests()))
                .build();
    }

    /**
     * Makes the frame of the answer to a wish for a loan.
     *
     * @param admission the answer
     * @return the frame
     */
    static Frame loanReply(Admission admission) {
        return Frame.newBuilder()
                .setLoanReply(PeerProtocol.LoanReply.newBuilder()
                        .setId(admission.id().value())
                        .setKind(admission.kind().name())
                        .setRetryAfterMillis(admission.retryAfterMillis()))
                .build();
    }

    /**
     * Reads the answer to a wish for a loan.
     *
     * @param reply the answer
     * @return the answer; one of an unknown kind grants nothing
     */
    static Admission admission(PeerProtocol.LoanReply reply) {
        AdmissionKind kind = AdmissionKind.NOT_READY;
        for (AdmissionKind known : AdmissionKind.values()) {
            kind = known.name().equals(reply.getKind()) ? known : kind;
        }
        return new Admission(kind, new TransferId(reply.getId()), reply.getRetryAfterMillis());
    }

    /**
     * Makes the frame of a settled loan.
     *
     * @param account the account
     * @param id      names the loan
     * @param used    what was used
     * @return the frame
     */
    static Frame loanSettled(AccountId account, TransferId id, Allowance used) {
        return Frame.newBuilder()
                .setLoanSettled(PeerProtocol.LoanSettled.newBuilder()
                        .setAccount(account.value())
                        .setId(id.value())
                        .setTokens(used.tokens())
                        .setRequests(used.requests()))
                .build();
    }

    /**
     * Makes the frame of a surrender.
     *
     * @param surrender the surrender
     * @return the frame
     */
    static Frame surrender(Surrender surrender) {
        return Frame.newBuilder()
                .setShareSurrender(PeerProtocol.ShareSurrender.newBuilder()
                        .setAccount(surrender.account().value())
                        .setHeir(surrender.heir().value())
                        .setAppliedOffset(surrender.appliedOffset())
                        .setLevelTokens(surrender.level().tokens())
                        .setLevelRequests(surrender.level().requests())
                        .setLentTokens(surrender.lent().tokens())
                        .setLentRequests(surrender.lent().requests()))
                .build();
    }

    /**
     * Reads a surrender.
     *
     * @param share the surrender
     * @return the surrender
     */
    static Surrender surrender(PeerProtocol.ShareSurrender share) {
        return new Surrender(
                new AccountId(share.getAccount()),
                new Incarnation(share.getHeir()),
                share.getAppliedOffset(),
                new Allowance(share.getLevelTokens(), share.getLevelRequests()),
                new Allowance(share.getLentTokens(), share.getLentRequests()));
    }

    /**
     * Makes the frame of usage to hold.
     *
     * @param entry the usage
     * @return the frame
     */
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

    /**
     * Reads usage to hold.
     *
     * @param hold the usage
     * @return the usage
     */
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

    /**
     * Makes the frame of records.
     *
     * @param records the records
     * @return the frame
     */
    static Frame records(List<StoredRecord> records) {
        PeerProtocol.Records.Builder builder = PeerProtocol.Records.newBuilder();
        records.forEach(record -> builder.addRecords(PeerProtocol.StoredRecord.newBuilder()
                .setOffset(record.offset())
                .setText(record.text())));
        return Frame.newBuilder().setRecords(builder).build();
    }

    /**
     * Reads records.
     *
     * @param records the records
     * @return the records
     */
    static List<StoredRecord> records(PeerProtocol.Records records) {
        return records.getRecordsList().stream()
                .map(record -> new StoredRecord(record.getOffset(), record.getText()))
                .toList();
    }
}
