package org.ragwortpitch.server;

import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorRef;
import org.ragwortpitch.control.ControlMessage;

/**
 * Forwards messages to the control thread. The senders are created before the control thread; messages that are sent
 * before it is attached are dropped.
 */
final class Mailbox implements Consumer<ControlMessage> {

    /**
     * The control thread; null until {@link #attach} is called.
     */
    private volatile ActorRef<ControlMessage> control;

    void attach(ActorRef<ControlMessage> started) {
        control = started;
    }

    @Override
    public void accept(ControlMessage message) {
        ActorRef<ControlMessage> attached = control;
        if (attached != null) {
            attached.tell(message);
        }
    }
}
