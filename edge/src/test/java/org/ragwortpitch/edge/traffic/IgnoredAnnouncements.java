package org.ragwortpitch.edge.traffic;

import java.util.Collection;

/**
 * Drops what other daemons announce about the platform's store.
 */
final class IgnoredAnnouncements implements PeerAnnouncements {

    @Override
    public void onEndpointsChanged(long offset) {}

    @Override
    public void onDeploymentAnnounced(long version) {}

    @Override
    public void onMembersDeparted(Collection<String> members) {}
}
