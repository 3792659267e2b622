package org.ragwortpitch.control;

/**
 * A message to the control thread.
 */
public sealed interface ControlMessage
        permits Tick,
                PageRead,
                ReadFailed,
                AppendDone,
                AppendFailed,
                ProposeRules,
                StartOperation,
                EndOperation,
                RecordUsage,
                ReportDone,
                ReportFailed,
                BeginLeaving,
                PeerPresence,
                PeerRecords,
                AskPresence,
                AskRecords,
                HoldUsage,
                EndpointReported,
                OrderAnswered,
                AskState {}
