package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.function.Supplier;
import org.ragwortpitch.edge.control.Control;
import org.ragwortpitch.edge.traffic.PeerAnnouncements;

/**
 * Passes announcements of other daemons to the control thread.
 *
 * @param control returns the receiver, which is created later
 */
record AnnouncementsToControl(EventLoop controlLoop, Supplier<Control> control) implements PeerAnnouncements {

    @Override
    public void onEndpointsChanged(long offset) {
        controlLoop.execute(() -> control.get().endpointsChanged(offset));
    }

    @Override
    public void onDeploymentAnnounced(long version) {
        controlLoop.execute(() -> control.get().deploymentAnnounced(version));
    }

    @Override
    public void onMembersDeparted(Collection<String> members) {
        controlLoop.execute(() -> control.get().membersDeparted(members));
    }
}
