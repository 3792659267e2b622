package org.ragwortpitch.server;

import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorRef;
import org.ragwortpitch.control.ControlMessage;

/**
 * Sends messages to the control thread, which is started after the parts that send to it. Messages before that are
 * dropped.
 */
final class Mailbox implements Consumer<ControlMessage> {

    /**
     * The control thread; null before it is started.
     */
    private volatile ActorRef<ControlMessage> control;

    /**
     * Attaches the control thread.
     *
     * @param started the control thread
     */
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
