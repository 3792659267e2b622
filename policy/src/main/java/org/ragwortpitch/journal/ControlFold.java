package org.ragwortpitch.journal;

import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.ConfigurationFold;
import org.ragwortpitch.duty.Duties;
import org.ragwortpitch.duty.DutyFold;
import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.MembershipFold;
import org.ragwortpitch.operation.OperationFold;
import org.ragwortpitch.order.OrderFold;
import org.ragwortpitch.usage.UsageFold;

/**
 * The deterministic fold of the whole log. Two readers that applied the same prefix hold the same state, whether they
 * read it from the start or from a checkpoint. Confined to one thread.
 */
public final class ControlFold {

    /**
     * The members.
     */
    private final MembershipFold membership = new MembershipFold();

    /**
     * The duties.
     */
    private final DutyFold duties = new DutyFold();

    /**
     * The rules.
     */
    private final ConfigurationFold configuration = new ConfigurationFold();

    /**
     * The open orders.
     */
    private final OrderFold orders = new OrderFold();

    /**
     * The usage windows.
     */
    private final UsageFold usage = new UsageFold();

    /**
     * The operations that may run at most once.
     */
    private final OperationFold operations = new OperationFold();

    /**
     * The last offset applied; -1 before the first.
     */
    private long appliedOffset = -1;

    /**
     * The prefix that the newest checkpoint read states; -1 without one.
     */
    private long checkpointedOffset = -1;

    /**
     * Applies the next record. Records up to the last applied offset are left out, so that reading a page again is
     * harmless.
     *
     * @param record the record
     * @return what the fold made of it
     */
    public Verdict apply(LogRecord record) {
        if (record.offset() <= appliedOffset) {
            return Verdict.DUPLICATE;
        }
        appliedOffset = record.offset();
        if (record.entry() instanceof MemberJoined join) {
            Optional<Incarnation> replaced = membership.replacedBy(join);
            Verdict verdict = membership.joined(record, join);
            if (verdict == Verdict.ACCEPTED) {
                replaced.ifPresent(duties::departed);
            }
            return verdict;
        }
        if (record.entry() instanceof UsageRecorded recorded) {
            return usage.recorded(record, recorded);
        }
        Verdict admitted = membership.admit(record);
        return admitted == Verdict.ACCEPTED ? applyOfMember(record) : admitted;
    }

    /**
     * Passes over a record of an unknown kind or version.
     *
     * @param offset its offset
     */
    public void skip(long offset) {
        appliedOffset = Math.max(appliedOffset, offset);
    }

    /**
     * Applies a new record of a member.
     *
     * @param record the record
     * @return the verdict
     */
    private Verdict applyOfMember(LogRecord record) {
        LogEntry entry = record.entry();
        if (entry instanceof MemberRenewed renewal) {
            return membership.renewed(record, renewal);
        } else if (entry instanceof MemberLeft) {
            duties.departed(record.writer());
            return membership.left(record);
        } else if (entry instanceof MemberGone gone) {
            return applyGone(record, gone);
        } else if (entry instanceof DutyClaimed claim) {
            return duties.claimed(record, claim);
        } else if (entry instanceof DutyReleased release) {
            return duties.released(record, release);
        } else if (entry instanceof ConfigurationChanged change) {
            return configuration.changed(record, change);
        } else if (entry instanceof OperationStarted start) {
            return operations.started(record, start);
        } else if (entry instanceof OperationEnded end) {
            return operations.ended(record, end);
        }
        return applyOfDuty(record);
    }

    /**
     * Applies a new record of a member that acts under a duty, or speaks for an order.
     *
     * @param record the record
     * @return the verdict
     */
    private Verdict applyOfDuty(LogRecord record) {
        LogEntry entry = record.entry();
        if (entry instanceof WindowClosed close) {
            return isCurrent(record, Duties.USAGE, close.term()) ? usage.closed(record, close) : Verdict.STALE;
        } else if (entry instanceof WindowReported report) {
            return isCurrent(record, Duties.USAGE, report.term()) ? usage.reported(report) : Verdict.STALE;
        } else if (entry instanceof OrderIntended intent) {
            return isCurrent(record, intent.duty(), intent.term())
                    ? orders.intended(record, instanceOf(record), intent)
                    : Verdict.STALE;
        } else if (entry instanceof OrderClosed close) {
            return orders.closed(record, instanceOf(record), close);
        }
        if (entry instanceof Checkpoint checkpoint) {
            checkpointedOffset = Math.max(checkpointedOffset, checkpoint.upToOffset());
        }
        return Verdict.ACCEPTED;
    }

    /**
     * Applies the statement that a member's lease has ended.
     *
     * @param record the record
     * @param gone   its content
     * @return the verdict
     */
    private Verdict applyGone(LogRecord record, MemberGone gone) {
        Verdict verdict = membership.gone(record, gone);
        if (verdict == Verdict.ACCEPTED) {
            duties.departed(gone.target());
        }
        return verdict;
    }

    /**
     * Tells whether a record's writer holds a duty under a term.
     *
     * @param record the record
     * @param duty   the duty
     * @param term   the term
     * @return whether it does
     */
    private boolean isCurrent(LogRecord record, DutyId duty, long term) {
        return duties.isCurrent(duty, term, record.writer());
    }

    /**
     * Tells the instance of a record's writer.
     *
     * @param record the record, already admitted
     * @return the instance
     */
    private InstanceId instanceOf(LogRecord record) {
        return membership.find(record.writer()).map(Member::instance).orElseThrow();
    }

    /**
     * Restates the state.
     *
     * @return a checkpoint of all that was applied
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
     * Replaces the state by that of a checkpoint, unless it is older than what was applied.
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
     * Tells how far the log was applied.
     *
     * @return the last offset applied; -1 before the first
     */
    public long appliedOffset() {
        return appliedOffset;
    }

    /**
     * Tells which prefix is restated.
     *
     * @return the last offset that the newest checkpoint includes; -1 without one
     */
    public long checkpointedOffset() {
        return checkpointedOffset;
    }

    /**
     * Gives access to the members.
     *
     * @return the fold of memberships
     */
    public MembershipFold membership() {
        return membership;
    }

    /**
     * Gives access to the duties.
     *
     * @return the fold of duties
     */
    public DutyFold duties() {
        return duties;
    }

    /**
     * Gives access to the rules.
     *
     * @return the fold of the configuration
     */
    public ConfigurationFold configuration() {
        return configuration;
    }

    /**
     * Gives access to the open orders.
     *
     * @return the fold of orders
     */
    public OrderFold orders() {
        return orders;
    }

    /**
     * Gives access to the usage windows.
     *
     * @return the fold of usage
     */
    public UsageFold usage() {
        return usage;
    }

    /**
     * Gives access to the operations that may run at most once.
     *
     * @return the fold of operations
     */
    public OperationFold operations() {
        return operations;
    }

    /**
     * Tells the members.
     *
     * @return the members, ordered by incarnation
     */
    public List<Member> members() {
        return membership.members();
    }
}
