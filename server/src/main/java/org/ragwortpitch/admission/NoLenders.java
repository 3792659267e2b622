package org.ragwortpitch.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.Surrender;

/**
 * Asks nobody; for a daemon without peers.
 */
public enum NoLenders implements Lenders {
    /**
     * The only instance.
     */
    INSTANCE;

    @Override
    public CompletionStage<Admission> borrow(Incarnation home, AccountId account, TransferId id, Allowance wish) {
        return CompletableFuture.completedFuture(new Admission(AdmissionKind.NOT_READY, id, 0));
    }

    @Override
    public void settle(Incarnation home, AccountId account, TransferId id, Allowance used) {}

    @Override
    public void surrender(Surrender surrender) {}
}
