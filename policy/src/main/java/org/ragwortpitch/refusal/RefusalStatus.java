package org.ragwortpitch.refusal;

import java.util.Set;

/**
 * HTTP statuses by which a refusal promises that the request has not been executed and never will be.
 */
public final class RefusalStatus {

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private RefusalStatus() {}

    /**
     * Returns whether callers take a status for the promise that their request was not executed.
     */
    public static boolean promisesNoExecution(int status) {
        return PROMISES.contains(status);
    }
}
