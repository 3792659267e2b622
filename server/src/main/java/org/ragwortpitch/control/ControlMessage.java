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
                ShutdownStep,
                PeerProgressReported,
                PeerRecords,
                QueryPresence,
                QueryRecords,
                BufferPeerUsage,
                EndpointReported,
                OrderAnswered,
                QueryState {}
