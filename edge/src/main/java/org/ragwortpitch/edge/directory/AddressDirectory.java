package org.ragwortpitch.edge.directory;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.adapter.DirectoryCodec;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.homes.Regions;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.Region;

/**
 * Tells callers the addresses of daemons that take requests, those of their own failure domain if there are enough.
 *
 * @param regions       the region of each failure domain
 * @param homesOfHost   the regions that may serve requests to a host; none if not all of its routes have homes
 * @param status        what this daemon tells the others about its service to callers
 * @param poolsInUse    the pools that have endpoints
 * @param bounds        the limits that the system has to meet
 * @param clockMillis   the monotonic clock, in milliseconds
 */
public record AddressDirectory(
        PeerView peers,
        Daemon self,
        Regions regions,
        Function<String, Set<Region>> homesOfHost,
        Supplier<PeerStatus> status,
        Supplier<Set<PoolId>> poolsInUse,
        Supplier<InstanceSettings.Bounds> bounds,
        LongSupplier clockMillis) {

    /** Most addresses in a directory answer; a caller has no use for more. */
    private static final int MAX_ADDRESSES = 64;

    /** Fewest daemons of the caller's failure domain that are listed alone, so that losing one leaves another. */
    private static final int MIN_ADDRESSES = 2;

    /**
     * Time for which callers may cache a directory answer, in seconds. Some cache it three times as long, and still
     * refresh it before a daemon that was ordered to stop is gone.
     */
    private static final double TTL_SECONDS = 2;

    /**
     * Age of a daemon's latest gossip beyond the time for contact, in milliseconds, up to which it is named: a daemon
     * that was killed is named for at most three seconds beyond that time, of which gossip on its way takes up to two.
     */
    private static final long MAX_AGE_BEYOND_CONTACT_MILLIS = 1_000;

    /** Query parameter with the host that the caller wants to reach. */
    private static final String HOST_FIELD = "Name";

    private static final int UNAVAILABLE = 503;

    /**
     * Returns the daemons that take requests without those that reach no endpoint, unless none does.
     */
    private List<Daemon> takingRequests(FailureDomain preferred) {
        Set<PoolId> pools = poolsInUse.get();
        long now = clockMillis.getAsLong();
        long maxAgeMillis = bounds.get().contactMillis() + MAX_AGE_BEYOND_CONTACT_MILLIS;
        List<Daemon> ready = new ArrayList<>(peers.ready(preferred, now));
        ready.removeIf(daemon -> peers.ageMillis(daemon.id(), now) > maxAgeMillis);
        List<Daemon> inContact = new ArrayList<>(ready);
        inContact.removeIf(daemon -> peers.status(daemon).isCutOff(pools));
        PeerStatus own = status.get();
        if (own.ready()) {
            ready.add(self);
        }
        if (own.ready() && !own.isCutOff(pools)) {
            inContact.add(self);
        }
        return inContact.isEmpty() ? ready : inContact;
    }

    /**
     * Returns the daemons in the region of the caller and in the homes of a host, which hardly pass its requests on, or
     * all if there are none or the host has no homes.
     */
    private List<Daemon> nearHomes(List<Daemon> daemons, String host, FailureDomain caller) {
        Set<Region> homes = homesOfHost.apply(host.toLowerCase(Locale.ROOT));
        List<Daemon> near = daemons.stream()
                .filter(daemon -> regions.isSame(daemon.domain(), caller)
                        || regions.of(daemon.domain()).filter(homes::contains).isPresent())
                .toList();
        return homes.isEmpty() || near.isEmpty() ? daemons : near;
    }

    /**
     * Answers a look-up.
     */
    public SmallAnswer answer(QueryStringDecoder query) {
        List<String> domains = query.parameters().getOrDefault(DirectoryCodec.DOMAIN_FIELD, List.of(""));
        FailureDomain domain = new FailureDomain(domains.get(0));
        List<String> hosts = query.parameters().getOrDefault(HOST_FIELD, List.of(""));
        List<Daemon> takingRequests = nearHomes(takingRequests(domain), hosts.get(0), domain);
        List<Daemon> sameDomain = takingRequests.stream()
                .filter(daemon -> daemon.domain().equals(domain))
                .toList();
        List<Daemon> chosen = sameDomain.size() >= MIN_ADDRESSES ? sameDomain : takingRequests;
        if (chosen.isEmpty()) {
            return SmallAnswer.text(UNAVAILABLE, "no daemon takes requests\n");
        }
        List<String> addresses =
                chosen.stream().limit(MAX_ADDRESSES).map(Daemon::frontAddress).toList();
        return SmallAnswer.json(
                DirectoryCodec.encodeResponse(addresses, Math.min(bounds.get().maxTtlSeconds(), TTL_SECONDS)));
    }
}
