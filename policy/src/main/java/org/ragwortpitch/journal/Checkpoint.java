package org.ragwortpitch.journal;

import java.util.List;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.membership.Member;
import org.ragwortpitch.membership.Tombstone;
import org.ragwortpitch.operation.OperationRecord;
import org.ragwortpitch.order.OpenOrder;
import org.ragwortpitch.usage.UsageState;

/**
 * Control state folded from all records up to an offset. A reader resumes after that offset, not after this record.
 *
 * @param upToOffset           the last offset that the state includes
 * @param members              the members
 * @param tombstones           the incarnations that departed lately
 * @param duties               the duties with their holders and terms
 * @param configurationVersion the version of the rules
 * @param ruleLines            the rules, as text lines
 * @param openOrders           the orders that may still be under way
 * @param usage                open, closed and reported windows
 * @param operations           the operations within the kept time
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
