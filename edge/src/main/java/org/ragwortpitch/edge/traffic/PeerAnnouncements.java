package org.ragwortpitch.edge.traffic;

import java.util.Collection;

/**
 * Receives what other daemons announce about the platform's store. Called on the traffic thread.
 */
public interface PeerAnnouncements {

    /**
     * Called with the store offset of a change of the endpoints that this daemon has not read.
     */
    void onEndpointsChanged(long offset);

    /**
     * Called with each version of the configuration that another daemon is first heard to have applied.
     */
    void onDeploymentAnnounced(long version);

    /**
     * Called with members of the duties' group that have stopped for good, once each is heard.
     */
    void onMembersDeparted(Collection<String> members);
}
