package org.ragwortpitch.edge.directory;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.adapter.DirectoryCodec;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * Tells callers the addresses of daemons that take requests, those of their own failure domain if there are enough.
 *
 * @param status        what this daemon tells the others about its service to callers
 * @param poolsInUse    the pools that have endpoints
 * @param bounds        the limits that the system has to meet
 * @param clockMillis   the monotonic clock, in milliseconds
 */
public record AddressDirectory(
        PeerView peers,
        Daemon self,
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
     * Answers a look-up.
     */
    public SmallAnswer answer(QueryStringDecoder query) {
        List<String> domains = query.parameters().getOrDefault(DirectoryCodec.DOMAIN_FIELD, List.of(""));
        FailureDomain domain = new FailureDomain(domains.get(0));
        List<Daemon> takingRequests = takingRequests(domain);
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
