package org.ragwortpitch.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ragwortpitch.limit.QuotaAmount;

/**
 * The quota that a request was admitted with. Must be settled; only the first settlement counts.
 */
public final class QuotaReservation {

    /**
     * Receives the quota that was used.
     */
    private final Consumer<QuotaAmount> settler;

    private final AtomicBoolean settled = new AtomicBoolean();

    QuotaReservation(Consumer<QuotaAmount> settler) {
        this.settler = settler;
    }

    /**
     * Returns a reservation for a request that no quota applies to.
     */
    public static QuotaReservation unlimited() {
        return new QuotaReservation(used -> {});
    }

    /**
     * Settles the quota; the part that was not used is returned to the account.
     */
    public void settle(QuotaAmount used) {
        if (settled.compareAndSet(false, true)) {
            settler.accept(used);
        }
    }
}
