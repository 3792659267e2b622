package org.ragwortpitch.controllog;

import java.util.List;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.Tombstone;
import org.ragwortpitch.operation.OperationRecord;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.usage.UsageState;

/**
 * A snapshot of the control state after all records up to an offset. A daemon that restores it resumes after that
 * offset, not after the checkpoint's own record.
 *
 * @param upToOffset           the last offset whose record the state includes
 * @param members              the members
 * @param tombstones           the incarnations that departed recently
 * @param duties               the duties with their holders and terms
 * @param configurationVersion the version of the configuration
 * @param ruleLines            the configuration rules, as text lines
 * @param openOrders           the orders that may still be in flight
 * @param usage                open, closed and reported usage windows
 * @param operations           the retained operations that may run at most once
 */
public record Checkpoint(
        long upToOffset,
        List<Member> members,
        List<Tombstone> tombstones,
        List<DutyTerm> duties,
        long configurationVersion,
        List<String> ruleLines,
        List<OpenOrder> openOrders,
        UsageState usage,
        List<OperationRecord> operations)
        implements LogEntry {

    /**
     * Copies the lists.
     */
    public Checkpoint {
        members = List.copyOf(members);
        tombstones = List.copyOf(tombstones);
        duties = List.copyOf(duties);
        ruleLines = List.copyOf(ruleLines);
        openOrders = List.copyOf(openOrders);
        operations = List.copyOf(operations);
    }
}
