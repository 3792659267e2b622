package org.ragwortpitch.controllog;

/**
 * The content of a log record. Readers skip kinds that they do not know.
 */
public sealed interface LogEntry
        permits MemberJoined,
                MemberRenewed,
                MemberLeft,
                MemberGone,
                DutyClaimed,
                DutyReleased,
                ConfigurationChanged,
                OrderIntended,
                OrderClosed,
                OperationStarted,
                OperationEnded,
                UsageRecorded,
                WindowClosed,
                WindowReported,
                Checkpoint {}
