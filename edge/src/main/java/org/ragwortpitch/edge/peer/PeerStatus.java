package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.HostAndPort;
import org.ragwortpitch.identity.PoolId;

/**
 * What a daemon tells the others about its service to callers.
 *
 * @param ready            whether it takes requests of callers
 * @param proxyPort        the TCP port on which it takes requests that other daemons can't serve; 0 if it takes none
 * @param unreachablePools the pools of which it reaches no endpoint
 * @param store            its contact with the platform's store
 */
public record PeerStatus(boolean ready, int proxyPort, Set<PoolId> unreachablePools, StoreContact store) {

    /**
     * Returns the status of a daemon that takes no requests of other daemons.
     */
    public static PeerStatus of(boolean ready) {
        return new PeerStatus(ready, 0, Set.of(), StoreContact.NONE);
    }

    /**
     * Decodes a status. What is not a port counts as none.
     */
    public static PeerStatus decode(
            boolean ready, int proxyPort, Collection<String> unreachablePools, StoreContact store) {
        return new PeerStatus(
                ready,
                HostAndPort.isPort(proxyPort) ? proxyPort : 0,
                unreachablePools.stream().map(PoolId::new).collect(Collectors.toUnmodifiableSet()),
                store);
    }

    /**
     * Returns the names of the unreachable pools.
     */
    public List<String> unreachablePoolNames() {
        return unreachablePools.stream().map(PoolId::value).sorted().toList();
    }

    /**
     * Returns whether the daemon takes requests of other daemons for a pool, and reaches endpoints of it.
     */
    boolean proxies(PoolId pool) {
        return ready && proxyPort > 0 && !unreachablePools.contains(pool);
    }

    /**
     * Returns whether the daemon reaches no endpoint of any pool.
     *
     * @param pools the pools that have endpoints
     */
    public boolean isCutOff(Set<PoolId> pools) {
        return !pools.isEmpty() && unreachablePools.containsAll(pools);
    }
}
