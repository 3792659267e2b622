package org.ragwortpitch.wire;

import java.util.concurrent.CompletionStage;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Handles calls of other daemons.
 */
@FunctionalInterface
public interface PeerService {

    /**
     * Handles a call. Runs on the network thread and must not block.
     *
     * @return the body of the response; no response is sent for a frame without a body, or for a failure
     */
    CompletionStage<Frame> handle(Frame call);
}
