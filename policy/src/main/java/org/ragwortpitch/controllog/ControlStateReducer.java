package org.ragwortpitch.controllog;

import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.ConfigurationReducer;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyReducer;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.MembershipReducer;
import org.ragwortpitch.operation.OperationReducer;
import org.ragwortpitch.order.OrderReducer;
import org.ragwortpitch.usage.UsageReducer;

/**
 * Reduces the whole log to control state, deterministically: any two daemons that applied the same prefix hold the same
 * state, whether they started at the beginning or from a checkpoint. Confined to one thread.
 */
public final class ControlStateReducer {

    private final MembershipReducer membership = new MembershipReducer();

    private final DutyReducer duties = new DutyReducer();

    private final ConfigurationReducer configuration = new ConfigurationReducer();

    private final OrderReducer orders = new OrderReducer();

    private final UsageReducer usage = new UsageReducer();

    private final OperationReducer operations = new OperationReducer();

    /**
     * The offset of the last applied record; -1 before the first.
     */
    private long appliedOffset = -1;

    /**
     * The last offset included in the newest checkpoint that was read; -1 if there was none.
     */
    private long checkpointedOffset = -1;

    /**
     * Applies the next record. Records up to the last applied offset are skipped, so a page of the log may be read
     * again.
     *
     * @param record the record
     * @return the result, which is the same on every daemon
     */
    public ApplyResult apply(LogRecord record) {
        if (record.offset() <= appliedOffset) {
            return ApplyResult.DUPLICATE;
        }
        appliedOffset = record.offset();
        if (record.entry() instanceof MemberJoined join) {
            Optional<Incarnation> replaced = membership.replacedBy(join);
            ApplyResult result = membership.applyJoin(record, join);
            if (result == ApplyResult.ACCEPTED) {
                replaced.ifPresent(duties::vacateHeldBy);
            }
            return result;
        }
        if (record.entry() instanceof UsageRecorded recorded) {
            return usage.applyUsage(record, recorded);
        }
        ApplyResult admitted = membership.admit(record);
        return admitted == ApplyResult.ACCEPTED ? applyMemberRecord(record) : admitted;
    }

    /**
     * Advances past a record of an unknown kind or version.
     *
     * @param offset the offset of the record
     */
    public void skip(long offset) {
        appliedOffset = Math.max(appliedOffset, offset);
    }

    private ApplyResult applyMemberRecord(LogRecord record) {
        LogEntry entry = record.entry();
        if (entry instanceof MemberRenewed renewal) {
            return membership.applyRenewal(record, renewal);
        } else if (entry instanceof MemberLeft) {
            duties.vacateHeldBy(record.writer());
            return membership.applyDeparture(record);
        } else if (entry instanceof MemberGone gone) {
            return applyEviction(record, gone);
        } else if (entry instanceof DutyClaimed claim) {
            return duties.applyClaim(record, claim);
        } else if (entry instanceof DutyReleased release) {
            return duties.applyRelease(record, release);
        } else if (entry instanceof ConfigurationChanged change) {
            return configuration.applyChange(record, change);
        } else if (entry instanceof OperationStarted start) {
            return operations.applyStart(record, start);
        } else if (entry instanceof OperationEnded end) {
            return operations.applyEnd(record, end);
        }
        return applyDutyRecord(record);
    }

    /**
     * Applies a record written under a duty, the completion of an order, or a checkpoint.
     */
    private ApplyResult applyDutyRecord(LogRecord record) {
        LogEntry entry = record.entry();
        if (entry instanceof WindowClosed close) {
            return isCurrent(record, Duties.USAGE, close.term())
                    ? usage.applyWindowClose(record, close)
                    : ApplyResult.STALE;
        } else if (entry instanceof WindowReported report) {
            return isCurrent(record, Duties.USAGE, report.term()) ? usage.applyWindowReport(report) : ApplyResult.STALE;
        } else if (entry instanceof OrderIntended intent) {
            return isCurrent(record, intent.duty(), intent.term())
                    ? orders.applyIntent(record, instanceOf(record), intent)
                    : ApplyResult.STALE;
        } else if (entry instanceof OrderClosed close) {
            return orders.applyClose(record, instanceOf(record), close);
        }
        if (entry instanceof Checkpoint checkpoint) {
            checkpointedOffset = Math.max(checkpointedOffset, checkpoint.upToOffset());
        }
        return ApplyResult.ACCEPTED;
    }

    /**
     * Applies the eviction of a member whose lease has expired.
     */
    private ApplyResult applyEviction(LogRecord record, MemberGone gone) {
        ApplyResult result = membership.applyEviction(record, gone);
        if (result == ApplyResult.ACCEPTED) {
            duties.vacateHeldBy(gone.target());
        }
        return result;
    }

    private boolean isCurrent(LogRecord record, DutyId duty, long term) {
        return duties.isCurrent(duty, term, record.writer());
    }

    /**
     * Returns the instance of a record's writer, which must be a member.
     */
    private InstanceId instanceOf(LogRecord record) {
        return membership.find(record.writer()).map(Member::instance).orElseThrow();
    }

    /**
     * Returns a checkpoint of all applied records.
     */
    public Checkpoint checkpoint() {
        return new Checkpoint(
                appliedOffset,
                membership.members(),
                membership.tombstones(),
                duties.terms(),
                configuration.version(),
                configuration.lines(),
                orders.openOrders(),
                usage.state(),
                operations.operations());
    }

    /**
     * Replaces the state with that of a checkpoint, unless the checkpoint includes no record after the last applied
     * one.
     *
     * @param checkpoint the checkpoint
     * @return whether the state was replaced
     */
    public boolean restore(Checkpoint checkpoint) {
        if (checkpoint.upToOffset() <= appliedOffset) {
            return false;
        }
        membership.restore(checkpoint.members(), checkpoint.tombstones(), checkpoint.upToOffset());
        duties.restore(checkpoint.duties());
        configuration.restore(checkpoint.configurationVersion(), checkpoint.ruleLines());
        orders.restore(checkpoint.openOrders());
        usage.restore(checkpoint.usage());
        operations.restore(checkpoint.operations());
        appliedOffset = checkpoint.upToOffset();
        checkpointedOffset = checkpoint.upToOffset();
        return true;
    }

    /**
     * Returns the offset of the last applied record, or -1 before the first.
     */
    public long appliedOffset() {
        return appliedOffset;
    }

    /**
     * Returns the last offset included in the newest checkpoint that was read, or -1 if there was none.
     */
    public long checkpointedOffset() {
        return checkpointedOffset;
    }

    /**
     * Returns the live membership state.
     */
    public MembershipReducer membership() {
        return membership;
    }

    /**
     * Returns the live state of the duties.
     */
    public DutyReducer duties() {
        return duties;
    }

    /**
     * Returns the live configuration state.
     */
    public ConfigurationReducer configuration() {
        return configuration;
    }

    /**
     * Returns the live state of open orders.
     */
    public OrderReducer orders() {
        return orders;
    }

    /**
     * Returns the live state of usage windows.
     */
    public UsageReducer usage() {
        return usage;
    }

    /**
     * Returns the live state of operations that may run at most once.
     */
    public OperationReducer operations() {
        return operations;
    }

    /**
     * Returns the members, ordered by incarnation.
     */
    public List<Member> members() {
        return membership.members();
    }
}
