package org.ragwortpitch.contact;

/**
 * Who serves a request.
 */
public enum ServingPlan {
    /** This daemon, with the endpoints that it reaches. */
    HERE,
    /** Another daemon, which reaches endpoints. */
    BY_PEER,
    /** Nobody: no daemon in reach has contact with endpoints of the pool. */
    NOBODY;

    /**
     * Decides who serves a request that no endpoint has got yet.
     *
     * @param contactLost   whether this daemon reaches no endpoint of the pool
     * @param passedOn      whether another daemon passed the request on; it is not passed on again
     * @param peerInContact whether another daemon that takes requests reaches endpoints of the pool
     */
    public static ServingPlan of(boolean contactLost, boolean passedOn, boolean peerInContact) {
        if (!contactLost) {
            return HERE;
        }
        return passedOn || !peerInContact ? NOBODY : BY_PEER;
    }
}
