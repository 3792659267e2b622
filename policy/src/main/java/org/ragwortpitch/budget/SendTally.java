package org.ragwortpitch.budget;

/**
 * Counts the sends of one request that may have arrived at an endpoint, and how many of them are repeats, which the
 * retry budget has to cover. The first run of a request and the first prefill that an engine accepts are not repeats;
 * each other send that may have arrived is one, whether it was executed, refused or lost. Confined to one thread.
 */
public final class SendTally {

    private int arrivals;
    private boolean prefillAccepted;

    /**
     * Records a send, which counts as arrived unless {@link #recordNotSent()} takes it back.
     */
    public void recordSend() {
        arrivals++;
    }

    /**
     * Takes back the last send, as no connection to its endpoint could be opened.
     */
    public void recordNotSent() {
        arrivals--;
    }

    /**
     * Records that an engine accepted a prefill of the request.
     */
    public void recordPrefillAccepted() {
        prefillAccepted = true;
    }

    /**
     * Returns the number of repeats so far.
     */
    public int repeats() {
        return repeats(arrivals, prefillAccepted);
    }

    /**
     * Returns the number of repeats if further sends arrive too.
     *
     * @param sends       the number of further sends
     * @param withPrefill whether the first of them is a prefill, which an engine may accept
     */
    public int repeatsAfter(int sends, boolean withPrefill) {
        return repeats(arrivals + sends, prefillAccepted || withPrefill);
    }

    private static int repeats(int arrived, boolean onePrefillExempt) {
        return Math.max(0, arrived - 1 - (onePrefillExempt ? 1 : 0));
    }
}
