package org.ragwortpitch.wire;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Answers other daemons.
 */
@FunctionalInterface
public interface PeerService {

    /**
     * Answers a call. It is called on a thread of the network and must not block.
     *
     * @param call the call
     * @return the answer's body; an empty frame, or a failure, if the call gets none
     */
    CompletionStage<Frame> answer(Frame call);
}
