package org.ragwortpitch.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ragwortpitch.limit.Allowance;

/**
 * The allowance that a request was admitted under. It must be settled once.
 */
public final class Ticket {

    /**
     * Takes what was used.
     */
    private final Consumer<Allowance> settler;

    /**
     * Whether it was settled.
     */
    private final AtomicBoolean settled = new AtomicBoolean();

    /**
     * Makes a ticket.
     *
     * @param settler takes what was used
     */
    Ticket(Consumer<Allowance> settler) {
        this.settler = settler;
    }

    /**
     * Makes a ticket of a request that no limit applies to.
     *
     * @return the ticket
     */
    public static Ticket unlimited() {
        return new Ticket(used -> {});
    }

    /**
     * Tells what was used; the rest is given back.
     *
     * @param used what was used
     */
    public void settle(Allowance used) {
        if (settled.compareAndSet(false, true)) {
            settler.accept(used);
        }
    }
}
